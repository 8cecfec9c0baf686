// Crowds of callers that send what no caller should, to a gateway as a process. Each case checks
// that the process lives, that its memory and its descriptors stay under what its settings allow,
// and that an ordinary caller is served while the crowd's connections are still open.

#include "deployment/small_deployment.hpp"
#include "hostile_callers/crowd.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <thread>

using namespace azureshore;
using namespace azureshore::testing;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024UL;
// Memory of the machine, as the gateway's settings have it, and the bound for the process.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_resident_kb = memory_mb * 1'000'000 / 1024;
constexpr std::size_t max_body_bytes = 4 * mebibyte;
// The process may open so many, and has to keep an eighth of them for backend servers.
constexpr std::size_t descriptor_limit = 512;
constexpr std::size_t max_descriptors = descriptor_limit * 7 / 8;
constexpr int ordinary_tries = 5;

// Lowers the limit of this process, which processes that it starts inherit, for a while.
class lowered_descriptor_limit {
public:
    lowered_descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        auto lowered = this->before;
        lowered.rlim_cur = descriptor_limit;
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~lowered_descriptor_limit() { setrlimit(RLIMIT_NOFILE, &this->before); }
    lowered_descriptor_limit(const lowered_descriptor_limit&) = delete;
    lowered_descriptor_limit& operator=(const lowered_descriptor_limit&) = delete;
    lowered_descriptor_limit(lowered_descriptor_limit&&) = delete;
    lowered_descriptor_limit& operator=(lowered_descriptor_limit&&) = delete;

private:
    rlimit before{};
};

deployment_plan small_machine()
{
    deployment_plan plan;
    plan.gateways = 1;
    plan.backends = 2;
    plan.max_body_bytes = max_body_bytes;
    // Longer than a case takes: a crowd's connections don't end by themselves.
    plan.idle_timeout = std::chrono::minutes(5);
    plan.memory_mb = memory_mb;
    return plan;
}

struct besieged_gateway {
    judge watch;
    std::unique_ptr<local_deployment> place;
    std::size_t most_descriptors = 0;

    explicit besieged_gateway(const deployment_plan& plan = small_machine())
    {
        {
            const lowered_descriptor_limit lowered;
            this->place = std::make_unique<local_deployment>(plan, this->watch);
        }
        BOOST_REQUIRE(this->place->wait_until_all_ready());
        BOOST_REQUIRE(eventually([this] { return this->ordinary_status() == status_ok; }));
    }

    [[nodiscard]] gateway_vm& vm() const { return this->place->gateways.front(); }

    [[nodiscard]] std::string process_folder() const
    {
        return "/proc/" + std::to_string(this->vm().process->id());
    }

    int ordinary_status()
    {
        static int asked = 0;
        const auto id = "ordinary-" + std::to_string(++asked);
        const auto target = "/plates/" + id;
        this->watch.sent(id, true, target);
        caller self;
        const auto answer =
            self.ask(this->vm().callers, make_request(id, target, true, deadline), 2 * deadline);
        return answer ? answer->status : 0;
    }

    void observe()
    {
        std::error_code ended;
        const std::filesystem::directory_iterator open(this->process_folder() + "/fd", ended);
        const auto count = static_cast<std::size_t>(std::distance(begin(open), end(open)));
        this->most_descriptors = std::max(this->most_descriptors, count);
    }

    [[nodiscard]] std::size_t most_resident_kb() const
    {
        std::ifstream file(this->process_folder() + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(line.find(':') + 1));
            }
        }
        return 0;
    }

    void expect_served()
    {
        int status = 0;
        for (int i = 0; i < ordinary_tries && status != status_ok; ++i) {
            std::this_thread::sleep_for(milliseconds(i == 0 ? 0 : 200));
            status = this->ordinary_status();
        }
        BOOST_TEST(status == status_ok);
    }

    void bear(std::vector<crowd_script> scripts)
    {
        crowd callers(this->vm().callers, std::move(scripts));
        callers.run([this] { this->observe(); });
        this->expect_served();
        this->observe();
        BOOST_REQUIRE(!this->vm().process->ended());
        BOOST_TEST_MESSAGE("resident at most " << this->most_resident_kb() << " kB, "
                                               << this->most_descriptors << " descriptors");
        BOOST_TEST(this->most_descriptors <= max_descriptors);
// The sanitizers' own memory says nothing about the product's.
#ifndef __SANITIZE_ADDRESS__
        const auto resident_kb = this->most_resident_kb();
        BOOST_TEST(resident_kb > 0);
        BOOST_TEST(resident_kb <= max_resident_kb);
#endif
    }
};

std::string head_of(const std::string& line, const std::string& fields)
{
    return line +
           " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n" +
           fields + "\r\n";
}

// The head of a body that is sent in chunks, the text of a chunk again and again.
const std::string chunked_head = head_of("POST /orders/crowd", "Transfer-Encoding: chunked\r\n");

const std::string filler(mebibyte, 'x');
const std::string large_chunk = "100000\r\n" + filler + "\r\n";

std::string one_byte_chunks()
{
    std::string made;
    while (made.size() < mebibyte) {
        made += "1\r\nx\r\n";
    }
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_callers)

// Guards against bodies of a legal size that take all memory together.
BOOST_AUTO_TEST_CASE(many_large_bodies_of_an_announced_length_are_borne)
{
    besieged_gateway gateway;
    std::vector<crowd_script> scripts;
    for (std::size_t i = 0; i < 40; ++i) {
        const bool whole = i % 8 == 0;
        crowd_script each;
        each.head = head_of("POST /orders/crowd",
                            "Content-Length: " + std::to_string(max_body_bytes) + "\r\n");
        each.repeated = &filler;
        each.repeated_bytes = max_body_bytes - (whole ? 0 : 1);
        each.piece_bytes = i % 2 == 0 ? mebibyte : 64UL * 1024UL;
        scripts.push_back(std::move(each));
    }
    gateway.bear(std::move(scripts));
}

// Guards against the same where nothing announces the length.
BOOST_AUTO_TEST_CASE(many_large_bodies_in_large_chunks_are_borne)
{
    besieged_gateway gateway;
    const crowd_script each{chunked_head, &large_chunk, 4 * large_chunk.size() - 1, 64UL * 1024UL};
    gateway.bear(std::vector<crowd_script>(40, each));
}

// Guards against chunks that cost more memory than the bytes that they hold.
BOOST_AUTO_TEST_CASE(many_large_bodies_in_chunks_of_one_byte_are_borne)
{
    besieged_gateway gateway;
    const auto chunks = one_byte_chunks();
    constexpr std::size_t bytes_per_chunk = 6;
    const crowd_script each{chunked_head, &chunks, bytes_per_chunk * (max_body_bytes - 1),
                            64UL * 1024UL};
    gateway.bear(std::vector<crowd_script>(20, each));
}

// Guards against bodies that are read though their announced length is over the limit.
BOOST_AUTO_TEST_CASE(bodies_announced_far_over_the_limit_are_borne)
{
    besieged_gateway gateway;
    const crowd_script each{head_of("POST /orders/crowd", "Content-Length: 1000000000\r\n"),
                            &filler, 4 * max_body_bytes, 64UL * 1024UL};
    gateway.bear(std::vector<crowd_script>(40, each));
}

// Guards against bodies that together take all memory before each is found to be over the limit.
BOOST_AUTO_TEST_CASE(bodies_sent_far_over_the_limit_are_borne)
{
    besieged_gateway gateway;
    const crowd_script each{chunked_head, &large_chunk, 16 * large_chunk.size(), 64UL * 1024UL};
    gateway.bear(std::vector<crowd_script>(40, each));
}

// Guards against header fields that cost more memory than their bytes.
BOOST_AUTO_TEST_CASE(heads_that_never_end_are_borne)
{
    besieged_gateway gateway;
    std::string fields;
    for (int i = 0; i < 1000; ++i) {
        fields += "a:\r\n";
    }
    const crowd_script each{"GET /plates/crowd HTTP/1.1\r\nHost: a.example\r\n", &fields,
                            4 * fields.size(), fields.size()};
    gateway.bear(std::vector<crowd_script>(300, each));
}

// Guards against connections that take all descriptors.
BOOST_AUTO_TEST_CASE(connections_that_send_nothing_are_borne)
{
    besieged_gateway gateway;
    gateway.bear(std::vector<crowd_script>(2 * descriptor_limit));
}

// Guards against answers that wait without bound for callers that don't read them.
BOOST_AUTO_TEST_CASE(slow_readers_of_large_answers_are_borne)
{
    besieged_gateway gateway;
    crowd_script each;
    each.head =
        head_of("GET /plates/crowd", "X-Answer-Bytes: " + std::to_string(8 * mebibyte) + "\r\n");
    each.reads = false;
    each.receive_buffer_bytes = 4096;
    gateway.bear(std::vector<crowd_script>(40, each));
}

// Guards against requests sent ahead that are all held at once.
BOOST_AUTO_TEST_CASE(a_pipeline_of_ten_thousand_requests_is_borne)
{
    besieged_gateway gateway;
    const auto request = head_of("GET /plates/crowd", "");
    const crowd_script reading{"", &request, request.size() * 10'000, 64UL * 1024UL};
    auto deaf = reading;
    deaf.reads = false;
    gateway.bear({reading, deaf});
}

// Guards against limits that refuse what a caller may send when no other sends anything, and
// against copies of a body.
BOOST_AUTO_TEST_CASE(one_body_of_64_mebibytes_is_served_by_a_machine_of_112_megabytes)
{
    constexpr std::size_t machine_mb = 112;
    auto plan = small_machine();
    plan.memory_mb = machine_mb;
    plan.max_body_bytes = 64 * mebibyte;
    besieged_gateway gateway(plan);
    auto request = make_request("large", "/orders/large", false, std::chrono::seconds(20));
    request.body.assign(plan.max_body_bytes, 'x');
    gateway.watch.sent("large", false, request.target);
    caller self;
    const auto answer = self.ask(gateway.vm().callers, request, std::chrono::seconds(20));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == status_ok);
#ifndef __SANITIZE_ADDRESS__
    BOOST_TEST(gateway.most_resident_kb() <= machine_mb * 1'000'000 / 1024);
    BOOST_TEST_MESSAGE("resident at most " << gateway.most_resident_kb() << " kB");
#endif
}

BOOST_AUTO_TEST_SUITE_END()
