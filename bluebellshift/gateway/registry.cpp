#include "bluebellshift/gateway/registry.h"

namespace bluebellshift::gateway {

const char *toText(Registry registry)
{
    switch (registry) {
    case Registry::Traffic:
        return "traffic";
    case Registry::Targets:
        return "targets";
    case Registry::Evacuations:
        return "evacuations";
    case Registry::Vms:
        return "vms";
    case Registry::PeerKeys:
        return "peer-keys";
    }
    return "unknown";
}

const char *toText(StoreFailure failure)
{
    switch (failure) {
    case StoreFailure::HistoryGone:
        return "history-gone";
    case StoreFailure::Conflict:
        return "conflict";
    case StoreFailure::Missing:
        return "missing";
    case StoreFailure::Refused:
        return "refused";
    case StoreFailure::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

const char *toText(FailureSign sign)
{
    switch (sign) {
    case FailureSign::Ended:
        return "ended";
    case FailureSign::Throttled:
        return "throttled";
    case FailureSign::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace bluebellshift::gateway
