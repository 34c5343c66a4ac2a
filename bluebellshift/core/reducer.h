// The reducer makes every decision of one daemon, driven by events.
//
//   Reducer reducer(options, { parseBundle, decodeRollout });
//   Event event;
//   event.now = clock();
//   event.random = random();
//   event.body = RequestArrived { ... };
//   for (const Effect &effect : reducer.reduce(event))
//       perform(effect);
//
// The reducer has no clock, no random source and no input or output: the same
// options and events give the same effects in the same order. The daemon's shell
// drives it in production; tests drive it directly.
//
// Contract of the driver:
//  - `now` never decreases.
//  - The first event may be of any kind; the reducer then requests its first
//    watch.
//  - The earliest SetTimer since the last TimerFired causes the next TimerFired,
//    at or soon after its instant.
//  - Each WatchObjects ends in one PlatformChanged or PlatformFailed, each
//    ReadObject and WriteObject in one PlatformReplied, each ForwardRequest in
//    one AttemptEnded, each ProbeTarget in one ProbeEnded.
//  - Each RequestId is new and is ended by exactly one of AnswerCaller,
//    RefuseCaller, IssueTicket, ChangeEnded, ObjectsReturned and StatusReturned.
#pragma once

#include <memory>

#include "bluebellshift/core/effect.h"
#include "bluebellshift/core/event.h"
#include "bluebellshift/core/options.h"
#include "bluebellshift/core/view.h"

namespace bluebellshift::core {

class Reducer
{
public:
    Reducer(const CoreOptions &options, View::Hooks hooks);
    ~Reducer();
    Reducer(const Reducer &) = delete;
    Reducer &operator=(const Reducer &) = delete;

    Effects reduce(const Event &event);

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace bluebellshift::core
