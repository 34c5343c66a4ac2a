// Waits for the signal that ends a program.
#pragma once

namespace bluebellshift::standin {

// Blocks SIGINT, SIGTERM and SIGPIPE in the caller's thread and in those that
// it starts later. Call it first in main().
void blockStopSignals();

// Returns once SIGINT or SIGTERM has arrived.
void waitForStopSignal();

} // namespace bluebellshift::standin
