#include "azureshore/node/lifecycle.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace azureshore::node {

namespace {

void call(const std::function<void()>& hook)
{
    if (hook) {
        hook();
    }
}

} // namespace

std::string_view to_string(life_stage stage)
{
    switch (stage) {
    case life_stage::serving:
        return "serving";
    case life_stage::draining:
        return "draining";
    case life_stage::handing_over:
        return "handing-over";
    case life_stage::finishing:
        return "finishing";
    case life_stage::stopped:
        return "stopped";
    }
    return "unknown";
}

lifecycle::lifecycle(const lifecycle_options& chosen, lifecycle_hooks actions)
    : options(chosen), hooks(std::move(actions))
{
}

void lifecycle::signalled(time_point now)
{
    if (this->now_in == life_stage::stopped) {
        return;
    }
    if (this->stopping()) {
        this->stop(forced_exit, "second-signal");
        return;
    }
    this->stop_ends = now + this->options.stop_limit;
    this->stage_ends = std::min(now + this->options.balancer_lag, this->stop_ends);
    this->enter(life_stage::draining);
    call(this->hooks.stop_being_ready);
}

void lifecycle::handed_over(time_point /*now*/)
{
    if (this->now_in == life_stage::handing_over) {
        this->finish();
    }
}

void lifecycle::set_in_flight(time_point /*now*/, std::size_t count)
{
    this->in_flight = count;
    if (this->now_in == life_stage::finishing && count == 0) {
        this->stop(clean_exit, "all-answered");
    }
}

void lifecycle::tick(time_point now)
{
    if (!this->stopping()) {
        return;
    }
    if (now >= this->stop_ends) {
        this->stop(this->in_flight == 0 ? clean_exit : forced_exit, "time-limit");
        return;
    }
    if (this->now_in == life_stage::draining && now >= this->stage_ends) {
        this->begin_hand_over(now);
    }
    else if (this->now_in == life_stage::handing_over && now >= this->stage_ends) {
        this->finish();
    }
}

time_point lifecycle::next_tick() const
{
    return this->stopping() ? std::min(this->stage_ends, this->stop_ends) : time_point::max();
}

void lifecycle::begin_hand_over(time_point now)
{
    this->stage_ends = std::min(now + this->options.hand_over_limit, this->stop_ends);
    this->enter(life_stage::handing_over);
    call(this->hooks.stop_accepting);
    call(this->hooks.hand_over);
}

void lifecycle::finish()
{
    this->stage_ends = this->stop_ends;
    this->enter(life_stage::finishing);
    if (this->in_flight == 0) {
        this->stop(clean_exit, "all-answered");
    }
}

void lifecycle::stop(int status, std::string_view reason)
{
    this->now_in = life_stage::stopped;
    if (this->hooks.log) {
        this->hooks.log({"stop",
                         {{"reason", std::string(reason)},
                          {"status", std::to_string(status)},
                          {"cut_off", std::to_string(this->in_flight)}}});
    }
    if (this->hooks.exit) {
        this->hooks.exit(status);
    }
}

void lifecycle::enter(life_stage next)
{
    this->now_in = next;
    if (this->hooks.log) {
        this->hooks.log({"life-stage",
                         {{"stage", std::string(to_string(next))},
                          {"in_flight", std::to_string(this->in_flight)}}});
    }
}

bool lifecycle::stopping() const
{
    return this->now_in != life_stage::serving && this->now_in != life_stage::stopped;
}

} // namespace azureshore::node
