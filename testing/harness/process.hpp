#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::harness {

/// A child process. Signals are sent to its own id only. Not thread-safe. The kernel kills the
/// child when the thread that started it ends, so that an aborted test leaves no processes behind.
class process {
public:
    /// Starts `program` with standard output and standard error appended to `output_file`. Throws
    /// std::system_error when the fork fails. If the program cannot be executed, the child exits
    /// with code 127.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;
    /// Kills the process and waits until it has ended.
    ~process();

    pid_t id() const { return id_; }

    bool running();

    /// Sends SIGTERM, which requests an orderly stop.
    void terminate();
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Sends SIGSTOP and waits until the process is stopped.
    void freeze();
    /// Sends SIGCONT.
    void resume();

    /// Waits for the end of the process. Returns the exit code, or minus the number of the signal
    /// that ended it; `std::nullopt` when it still runs after `timeout`.
    std::optional<int> wait(std::chrono::milliseconds timeout);

private:
    void collect_exit(int options);
    void signal(int number);

    pid_t id_{-1};
    std::optional<int> result_;
};

} // namespace egretstile::harness
