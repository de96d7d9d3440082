#include "net/blocking_pool.hpp"

#include <utility>

namespace egretstile::daemon {

blocking_pool::blocking_pool(std::size_t threads) {
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run_thread(); });
    }
}

blocking_pool::~blocking_pool() {
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        queue_.clear();
    }
    changed_.notify_all();
    for (std::thread& thread : threads_) {
        thread.join();
    }
}

void blocking_pool::submit(std::function<void()> function) {
    {
        const std::lock_guard lock(mutex_);
        if (stopped_) {
            return;
        }
        queue_.push_back(std::move(function));
    }
    changed_.notify_one();
}

void blocking_pool::run_thread() {
    while (true) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
        if (stopped_) {
            return;
        }
        const std::function<void()> function = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        function();
    }
}

} // namespace egretstile::daemon
