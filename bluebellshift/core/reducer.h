// The reducer: every decision of one daemon, driven event by event.
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
// options and events give the same effects, in the same order. The shell of the
// daemon is one program that drives it; a test is another.
//
// Contract for whoever drives it:
//  - `now` never goes back.
//  - The first event may be any; the reducer then asks for its first watch.
//  - The earliest SetTimer since the last TimerFired brings the next TimerFired, at
//    or soon after its instant.
//  - Every WatchObjects ends in one PlatformChanged or PlatformFailed, every
//    ReadObject and WriteObject in one PlatformReplied, every ForwardRequest in
//    one AttemptEnded, every ProbeTarget in one ProbeEnded.
//  - Each RequestId is new, and is ended by exactly one of AnswerCaller,
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
