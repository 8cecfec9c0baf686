#include "load_run.hpp"

#include "azureshore/core/random.hpp"
#include "azureshore/net/http_client.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <utility>

namespace azureshore::load {

namespace {

constexpr std::size_t max_answer_body = 1024UL * 1024UL;

class load_run {
public:
    explicit load_run(const load_plan& given)
        : plan(given), random(seeded_random(given.seed)), timer(this->executor),
          client(this->executor), started(steady_now())
    {
    }

    load_report run()
    {
        if (this->plan.rate > 0) {
            this->start_when_due();
        }
        else {
            for (std::size_t index = 0; index < this->plan.connections; ++index) {
                this->start_one();
            }
        }
        this->executor.run();
        this->report.length = steady_now() - this->started;
        return std::move(this->report);
    }

private:
    [[nodiscard]] bool over() const
    {
        return steady_now() - this->started >= this->plan.length || this->due >= this->plan.count;
    }

    // Starts what is due since the last time, so that a late timer loses nothing.
    void start_when_due()
    {
        const std::chrono::duration<double> passed = steady_now() - this->started;
        const auto should = static_cast<std::uint64_t>(passed.count() * this->plan.rate) + 1;
        while (this->due < should && !this->over()) {
            if (this->client.in_flight() < this->plan.connections) {
                this->start_one();
            }
            else {
                ++this->due;
                ++this->report.skipped;
            }
        }
        if (this->over()) {
            return;
        }
        const std::chrono::duration<double> next(static_cast<double>(this->due) / this->plan.rate);
        this->timer.expires_at(this->started + std::chrono::duration_cast<duration>(next));
        this->timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                this->start_when_due();
            }
        });
    }

    void start_one()
    {
        if (this->over()) {
            return;
        }
        ++this->due;
        ++this->report.sent;
        auto request = this->make_request();
        const std::string own = this->plan.check_answers ? this->own_text() : std::string();
        this->client.start(std::move(request), [this, own](const net::http_result& result) {
            this->report.add(result, own);
            if (this->plan.rate <= 0) {
                this->start_one();
            }
        });
    }

    // No other request of the run sends this text.
    [[nodiscard]] std::string own_text() const
    {
        return "load-" + std::to_string(this->plan.seed) + '-' + std::to_string(this->due) + '.';
    }

    net::http_request make_request()
    {
        net::http_request request;
        request.where = this->plan.target;
        request.target = this->plan.path;
        request.timeout = this->plan.timeout;
        request.max_answer_body = max_answer_body;
        request.may_reuse_connection = this->plan.keep_connections;
        if (uniform(this->random) < this->plan.orders) {
            request.method = "POST";
            request.headers.push_back({"Idempotency-Key", this->own_text()});
            request.body = this->own_text();
            request.may_reuse_connection = false;
        }
        else {
            request.target += "?q=" + this->own_text();
        }
        return request;
    }

    const load_plan plan;
    random_source random;
    asio::io_context executor{1};
    asio::steady_timer timer;
    net::http_client client;
    time_point started;
    std::uint64_t due = 0;
    load_report report;
};

} // namespace

load_report run_load(const load_plan& plan)
{
    return load_run(plan).run();
}

} // namespace azureshore::load
