#pragma once

#include "azureshore/balance/traffic_configuration.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azureshore::balance {

// Why a key of a client account is not accepted.
enum class key_problem : std::uint8_t {
    // Not a value that a header field can carry unchanged (RFC 9110, section 5.5).
    not_sendable,
    // Another account has the same key, so that it identifies neither.
    shared_with_another_account,
};

std::string_view to_string(key_problem problem);

// A key that is not accepted, by the account that it was given to. The key itself is not kept, as
// it must not be logged.
struct rejected_key {
    account_id account;
    key_problem problem = key_problem::not_sendable;
};

// Returns why requests of an account can't be served, or nothing if they can: its configuration
// could not be read, or backend servers can't be told its name in a header field. Its keys are
// known all the same.
std::string problem_of(const client_account& account);

// Finds client accounts by key. Keys are hashed with a secret, so that the time of a search does
// not tell callers how much of a key they have guessed.
class account_directory {
public:
    account_directory() = default;

    // Indexes the accounts of a configuration, which the directory keeps alive.
    explicit account_directory(std::shared_ptr<const traffic_configuration> of);

    // Returns the account that accepts this key, or null if there is none.
    [[nodiscard]] const client_account* find(std::string_view key) const;

    // Returns whether requests need the key of a client account.
    [[nodiscard]] bool requires_keys() const;

    [[nodiscard]] const std::vector<rejected_key>& rejected_keys() const { return this->rejected; }

private:
    static constexpr std::size_t hash_key_bytes = 16;

    struct entry {
        std::string key;
        // Null if the key is not accepted.
        const client_account* account = nullptr;
    };

    [[nodiscard]] std::uint64_t hash(std::string_view key) const;
    [[nodiscard]] entry* find_entry(std::string_view key);
    void add(const client_account& account, const std::string& key);

    std::shared_ptr<const traffic_configuration> configuration;
    std::array<unsigned char, hash_key_bytes> hash_key{};
    std::unordered_multimap<std::uint64_t, entry> entries;
    std::vector<rejected_key> rejected;
};

} // namespace azureshore::balance
