// A fixed number of threads that run tasks from a bounded queue.
//
//   WorkerPool pool(4, 100);
//   if (!pool.submit([] { ... }))
//       ...; // the queue is full
//
// submit() is thread-safe.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bluebellshift::daemon {

class WorkerPool
{
public:
    using Task = std::function<void()>;

    WorkerPool(std::size_t threadCount, std::size_t maxQueueLength);
    ~WorkerPool();

    // Returns false, and does not run the task, if the queue is full or the pool
    // was stopped.
    bool submit(Task task);

    // Runs the queued tasks, then joins the threads.
    void stop();

private:
    void run();

    const std::size_t maxQueueLength_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Task> queue_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace bluebellshift::daemon
