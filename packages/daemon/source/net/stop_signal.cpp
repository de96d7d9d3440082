#include "net/stop_signal.hpp"

#include <pthread.h>

#include <csignal>
#include <utility>

namespace egretstile::daemon {

namespace {

sigset_t stop_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    return signals;
}

} // namespace

stop_signal::stop_signal() {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

stop_signal::~stop_signal() {
    if (thread_.joinable()) {
        // Ends the wait of the listening thread.
        pthread_kill(thread_.native_handle(), SIGUSR1);
        thread_.join();
    }
}

void stop_signal::listen(std::function<void()> function) {
    thread_ = std::thread([function = std::move(function)] {
        const sigset_t signals = stop_signals();
        while (true) {
            int received = 0;
            if (sigwait(&signals, &received) != 0 || received == SIGUSR1) {
                return;
            }
            function();
        }
    });
}

} // namespace egretstile::daemon
