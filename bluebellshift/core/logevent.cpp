#include "bluebellshift/core/logevent.h"

namespace bluebellshift::core {

const std::vector<LogEvent> &allLogEvents()
{
    static const std::vector<LogEvent> events {
        log::daemonStarted,     log::daemonStopped,    log::shutdownBegun,
        log::linesDropped,      log::readyChanged,     log::settingsReloaded,
        log::settingsFaulty,    log::loopDelayed,      log::viewInstalled,
        log::viewStale,         log::viewFresh,        log::objectInvalid,
        log::bundleInForce,     log::oldViewIgnored,   log::configInForce,
        log::storeLost,         log::storeRegained,    log::registryListed,
        log::entryUnreadable,   log::storeModeChanged, log::configRead,
        log::storeEraChanged,   log::storeDataIgnored, log::configBehind,
        log::configKept,        log::peerAlive,        log::peerSuspected,
        log::peerLeaving,       log::peerRejected,     log::messageDropped,
        log::neighboursChanged, log::ledgerJoined,     log::memberExpelled,
        log::sharesReclaimed,   log::selfExpelled,     log::shareMoved,
        log::admissionMoved,    log::requestRouted,    log::requestRefused,
        log::requestAnswered,   log::attemptFailed,    log::requestRelayed,
        log::answerReplayed,    log::targetEjected,    log::targetReturned,
        log::targetLeaving,     log::callerGone,       log::targetJoined,
        log::targetGone,        log::targetLapsed,     log::domainEvacuated,
        log::domainReturned,    log::targetLimited,    log::targetPaused,
        log::callerLimited,     log::regionShares,     log::faultNoticed,
        log::regionPlanned,     log::targetHeld,       log::snapshotPublished,
        log::shiftStepTaken,    log::shiftPaused,      log::shiftFinished,
        log::regionHeldOut,     log::regionAdmitted,   log::regionUnsettled,
        log::changeAccepted,    log::changeLost,       log::changeUnresolved,
        log::operatorRejected,  log::auditUnfinished,
    };
    return events;
}

} // namespace bluebellshift::core
