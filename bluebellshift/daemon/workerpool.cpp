#include "bluebellshift/daemon/workerpool.h"

#include <utility>

namespace bluebellshift::daemon {

WorkerPool::WorkerPool(std::size_t threadCount, std::size_t maxQueueLength)
    : maxQueueLength_(maxQueueLength)
{
    for (std::size_t i = 0; i < threadCount; ++i)
        threads_.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool()
{
    stop();
}

bool WorkerPool::submit(Task task)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_ || queue_.size() >= maxQueueLength_)
            return false;
        queue_.push_back(std::move(task));
    }
    changed_.notify_one();
    return true;
}

void WorkerPool::stop()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread &thread : threads_)
        thread.join();
    threads_.clear();
}

void WorkerPool::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        Task task = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace bluebellshift::daemon
