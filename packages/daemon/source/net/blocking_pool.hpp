#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace egretstile::daemon {

/// Threads for blocking calls, so that the event loop never blocks. Thread-safe.
class blocking_pool {
public:
    explicit blocking_pool(std::size_t threads);
    blocking_pool(const blocking_pool&) = delete;
    blocking_pool& operator=(const blocking_pool&) = delete;
    blocking_pool(blocking_pool&&) = delete;
    blocking_pool& operator=(blocking_pool&&) = delete;
    /// Discards functions that have not started and waits for those in progress.
    ~blocking_pool();

    /// Queues `function`; the threads start queued functions in the order of submission.
    void submit(std::function<void()> function);

private:
    void run_thread();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> queue_;
    bool stopped_{false};
    std::vector<std::thread> threads_;
};

} // namespace egretstile::daemon
