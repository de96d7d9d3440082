#include "process.hpp"

#include "wait_until.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <limits>
#include <system_error>

namespace egretstile::harness {

namespace {

constexpr int exec_failed_code = 127;

/// Runs in the child. Makes only async-signal-safe calls, as other threads of the test may have
/// held locks at the time of the fork.
[[noreturn]] void execute(std::vector<char*>& arguments, const char* output_file, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(exec_failed_code);
    }
    sigset_t none{};
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    // Sockets and pipes of the test must not stay open in the child.
    ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned int>::max(), 0);
    const int output = ::open(output_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (output < 0 || ::dup2(output, STDOUT_FILENO) < 0 || ::dup2(output, STDERR_FILENO) < 0) {
        ::_exit(exec_failed_code);
    }
    ::execv(arguments.front(), arguments.data());
    ::_exit(exec_failed_code);
}

pid_t start_child(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& output_file) {
    std::vector<std::string> texts{program};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string& text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (child == 0) {
        execute(pointers, output_file.c_str(), parent);
    }
    return child;
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& output_file)
    : id_(start_child(program, arguments, output_file)) {}

process::~process() {
    kill();
}

void process::collect_exit(int options) {
    if (result_) {
        return;
    }
    int status = 0;
    if (::waitpid(id_, &status, options) != id_) {
        return;
    }
    if (WIFEXITED(status)) {
        result_ = WEXITSTATUS(status);
    } else if (WIFSIGNALED(status)) {
        result_ = -WTERMSIG(status);
    }
}

bool process::running() {
    collect_exit(WNOHANG);
    return !result_;
}

void process::signal(int number) {
    // After waitpid has collected the child, its id may belong to another process.
    if (running()) {
        ::kill(id_, number);
    }
}

void process::terminate() {
    signal(SIGTERM);
}

void process::kill() {
    signal(SIGKILL);
    collect_exit(0);
}

void process::freeze() {
    signal(SIGSTOP);
    siginfo_t info{};
    if (running()) {
        ::waitid(P_PID, static_cast<id_t>(id_), &info, WSTOPPED | WEXITED | WNOWAIT);
    }
}

void process::resume() {
    signal(SIGCONT);
}

std::optional<int> process::wait(std::chrono::milliseconds timeout) {
    wait_until([this] { return !running(); }, timeout);
    return result_;
}

} // namespace egretstile::harness
