#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::testing {

// A process that a test starts, and that ends with the test at the latest.
class child_process {
public:
    // Starts a program of this build, named relative to the build folder. Its standard output is
    // read by this object, or appended with its standard error to `log_file` when one is named.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    // Reads standard output up to a line that contains `text` and gives that line; fails the test
    // when the output ends first.
    std::string wait_for_line(const std::string& text);

    // Everything that is still to come on standard output.
    std::string read_rest();

    void signal(int number) const;

    // The process's id; -1 once it has ended.
    [[nodiscard]] pid_t id() const { return this->pid; }

    // Processor time used so far, of the process and of the system for it.
    [[nodiscard]] std::chrono::milliseconds processor_time() const;

    // Waits for the end; the exit status, or 128 + the signal's number.
    int wait();

    // The same once the process has ended; nothing before.
    std::optional<int> ended();

private:
    pid_t pid = -1;
    int output = -1;
    std::string buffered;
};

// How a program ended that was run to its end.
struct finished_run {
    int status = 0;
    std::string output;
};

finished_run run_to_end(const std::string& program, const std::vector<std::string>& arguments);

} // namespace azureshore::testing
