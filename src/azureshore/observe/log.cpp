#include "azureshore/observe/log.hpp"

#include <glog/logging.h>

#include <atomic>
#include <memory>

namespace azureshore::observe {

namespace {

constexpr std::size_t whole_percent = 100;

} // namespace

void start_logging(const std::string& program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program.c_str());
}

void log_event(const decision& event)
{
    LOG(INFO) << to_line(event);
}

decision_hook make_decision_log(std::size_t percent)
{
    if (percent == 0) {
        return [](const decision&) {
        };
    }
    auto count = std::make_shared<std::atomic<std::size_t>>(0);
    return [percent, count](const decision& made) {
        // Logged whenever the running sum of shares passes a whole line.
        const auto before = count->fetch_add(1) % whole_percent;
        if ((before + 1) * percent / whole_percent > before * percent / whole_percent) {
            LOG(INFO) << to_line(made);
        }
    };
}

} // namespace azureshore::observe
