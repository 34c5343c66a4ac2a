// Waits for the signal that stops a program.
#pragma once

namespace bluebellshift::standin {

// Blocks SIGINT, SIGTERM and SIGPIPE in the calling thread and in the threads that
// it starts later. Must be called first in main().
void blockStopSignals();

// Blocks until SIGINT or SIGTERM arrives.
void waitForStopSignal();

} // namespace bluebellshift::standin
