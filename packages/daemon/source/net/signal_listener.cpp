#include "net/signal_listener.hpp"

#include <pthread.h>

#include <csignal>
#include <utility>

namespace egretstile::daemon {

namespace {

sigset_t handled_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGUSR1);
    return signals;
}

} // namespace

signal_listener::signal_listener() {
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

signal_listener::~signal_listener() {
    if (thread_.joinable()) {
        // Wakes the listening thread from `sigwait`, so that it ends.
        pthread_kill(thread_.native_handle(), SIGUSR1);
        thread_.join();
    }
}

void signal_listener::listen(std::function<void()> on_stop, std::function<void()> on_reload) {
    thread_ = std::thread([on_stop = std::move(on_stop), on_reload = std::move(on_reload)] {
        const sigset_t signals = handled_signals();
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
