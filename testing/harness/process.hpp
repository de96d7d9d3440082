#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::harness {

/// A child process. Signals go to its own id only. Not thread-safe. The child is killed when the
/// thread that started it ends, so that an aborted test leaves nothing behind.
class process {
public:
    /// Starts `program` with its output and errors appended to `output_file`. Throws
    /// std::system_error when it cannot fork; a program that cannot run exits with 127.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;
    /// Kills the process and waits for its end.
    ~process();

    pid_t id() const { return id_; }

    bool running();

    /// SIGTERM: asks for an orderly end.
    void terminate();
    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGSTOP, and waits until the process has stopped.
    void freeze();
    /// SIGCONT.
    void resume();

    /// Exit code, or minus the number of the signal that ended it; nothing: still running.
    std::optional<int> wait(std::chrono::milliseconds timeout);

private:
    void poll_end(int options);
    void signal(int number);

    pid_t id_{-1};
    std::optional<int> result_;
};

} // namespace egretstile::harness
