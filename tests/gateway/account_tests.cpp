#include "gateway/running_gateway.hpp"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;

namespace {

balance::client_account account(const std::string& name, const std::string& key)
{
    balance::client_account made;
    made.name = {name};
    made.keys = {key};
    return made;
}

// A gateway whose backend server keeps the last request that it read.
struct recording_gateway {
    recording_gateway()
        : backend(make_backend("plate-1",
                               [this](raw_connection& connection, const std::string& request) {
                                   this->last = request;
                                   connection.send(answer_to(request, "ok"));
                                   return true;
                               }))
    {
        this->gateway.add_backend("plate-1", *this->backend);
    }

    // Sends a request on a connection and returns what the backend server read of it.
    std::string forwarded(raw_client& caller, const std::string& fields,
                          const std::string& body = "")
    {
        caller.send(request_text("POST /orders/1", "r-1", fields, body));
        caller.read_until("ok");
        return this->last;
    }

    std::string last;
    running_gateway gateway;
    std::unique_ptr<raw_server> backend;
};

std::size_t count(const std::string& text, const std::string& what)
{
    std::size_t found = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) {
        ++found;
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_accounts)

// Guards against a key that reaches a backend server, and an account that a caller chooses.
BOOST_AUTO_TEST_CASE(a_backend_server_gets_the_account_and_neither_the_key_nor_the_callers_claim)
{
    recording_gateway of;
    of.gateway.configure(std::vector{account("a", "k1")});
    raw_client caller(of.gateway.port());
    const auto seen = of.forwarded(
        caller, "account-key: k1\r\nAccount: b\r\nACCOUNT: c\r\nConnection: Account\r\n");
    BOOST_TEST(seen.find("k1") == std::string::npos);
    BOOST_TEST(field_of(seen, "Account") == "a");
    BOOST_TEST(count(seen, "ccount: ") == 1U);
}

// Guards against a connection that keeps the rights of its first request.
BOOST_AUTO_TEST_CASE(a_key_that_was_removed_is_refused_on_an_open_connection)
{
    recording_gateway of;
    of.gateway.configure(std::vector{account("a", "k1")});
    raw_client caller(of.gateway.port());
    of.forwarded(caller, "Account-Key: k1\r\n");
    of.gateway.configure(std::vector{account("a", "k2")});
    caller.send(request_text("POST /orders/1", "r-2", "Account-Key: k1\r\n"));
    BOOST_TEST(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 401 "));
}

// Guards against a choice between two keys that the operators' rules do not make.
BOOST_AUTO_TEST_CASE(a_request_with_two_keys_is_refused)
{
    recording_gateway of;
    of.gateway.configure(std::vector{account("a", "k1"), account("b", "k2")});
    raw_client caller(of.gateway.port());
    caller.send(request_text("POST /orders/1", "r-1", "Account-Key: k1\r\nAccount-Key: k2\r\n"));
    BOOST_TEST(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 401 "));
    BOOST_TEST(of.last.empty());
}

// Guards against requests that run, with the caller's key and claim, once the last account is gone.
BOOST_AUTO_TEST_CASE(no_key_is_accepted_if_the_list_of_accounts_is_empty)
{
    recording_gateway of;
    of.gateway.configure(std::vector{account("a", "k1")});
    raw_client caller(of.gateway.port());
    of.forwarded(caller, "Account-Key: k1\r\n");
    of.last.clear();
    of.gateway.configure(std::vector<balance::client_account>{});
    for (const std::string fields : {"Account-Key: k1\r\n", "Account: a\r\n", ""}) {
        caller.send(request_text("POST /orders/1", "r-2", fields));
        BOOST_TEST(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 401 "), fields);
    }
    BOOST_TEST(of.last.empty());
}

// Guards against fields that earlier deployments pass on and that are taken for keys.
BOOST_AUTO_TEST_CASE(without_accounts_the_fields_are_passed_on)
{
    recording_gateway of;
    raw_client caller(of.gateway.port());
    const auto seen = of.forwarded(caller, "Account-Key: k1\r\nAccount: b\r\n");
    BOOST_TEST(field_of(seen, "Account-Key") == "k1");
    BOOST_TEST(field_of(seen, "Account") == "b");
}

BOOST_AUTO_TEST_SUITE_END()
