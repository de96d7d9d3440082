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
    sigaddset(&signals, SIGHUP);
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

void stop_signal::listen(std::function<void()> on_stop, std::function<void()> on_reload) {
    thread_ = std::thread([on_stop = std::move(on_stop), on_reload = std::move(on_reload)] {
        const sigset_t signals = stop_signals();
        while (true) {
            int received = 0;
            if (sigwait(&signals, &received) != 0 || received == SIGUSR1) {
                return;
            }
            if (received == SIGHUP) {
                on_reload();
            } else {
                on_stop();
            }
        }
    });
}

} // namespace egretstile::daemon
