#include "azureshore/balance/account_directory.hpp"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace azureshore::balance {

namespace {

// Whether a header field carries a text unchanged (RFC 9110, section 5.5). White space within a
// value is part of it; around a value, recipients drop it. Bytes of UTF-8 are allowed.
bool is_sendable(std::string_view text)
{
    constexpr char delete_character = 0x7f;
    const auto is_blank = [](char each) {
        return each == ' ' || each == '\t';
    };
    const auto is_control = [](char each) {
        return (each >= 0 && each < ' ' && each != '\t') || each == delete_character;
    };
    return !text.empty() && !is_blank(text.front()) && !is_blank(text.back()) &&
           std::none_of(text.begin(), text.end(), is_control);
}

bool same_key(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::string_view to_string(key_problem problem)
{
    switch (problem) {
    case key_problem::not_sendable:
        return "not_sendable";
    case key_problem::shared_with_another_account:
        return "shared_with_another_account";
    }
    return "";
}

std::string problem_of(const client_account& account)
{
    if (!account.defect.empty()) {
        return account.defect;
    }
    return is_sendable(account.name.value) ? "" : "no header field can carry the name unchanged";
}

account_directory::account_directory(std::shared_ptr<const traffic_configuration> of)
    : configuration(std::move(of))
{
    static_assert(hash_key_bytes == crypto_shorthash_KEYBYTES);
    if (sodium_init() < 0) {
        throw std::runtime_error("libsodium does not start");
    }
    crypto_shorthash_keygen(this->hash_key.data());
    for (const auto& account : this->configuration->listed_accounts()) {
        for (const auto& key : account.keys) {
            this->add(account, key);
        }
    }
}

const client_account* account_directory::find(std::string_view key) const
{
    if (!is_sendable(key)) {
        return nullptr;
    }
    const auto [first, last] = this->entries.equal_range(this->hash(key));
    const auto found =
        std::find_if(first, last, [&](const auto& each) { return same_key(each.second.key, key); });
    return found == last ? nullptr : found->second.account;
}

bool account_directory::requires_keys() const
{
    return this->configuration && this->configuration->accounts.has_value();
}

std::uint64_t account_directory::hash(std::string_view key) const
{
    std::array<unsigned char, crypto_shorthash_BYTES> digest{};
    crypto_shorthash(digest.data(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                     this->hash_key.data());
    std::uint64_t number = 0;
    for (const auto each : digest) {
        number = number << 8U | each;
    }
    return number;
}

account_directory::entry* account_directory::find_entry(std::string_view key)
{
    const auto [first, last] = this->entries.equal_range(this->hash(key));
    const auto found =
        std::find_if(first, last, [&](const auto& each) { return same_key(each.second.key, key); });
    return found == last ? nullptr : &found->second;
}

void account_directory::add(const client_account& account, const std::string& key)
{
    if (!is_sendable(key)) {
        this->rejected.push_back({account.name, key_problem::not_sendable});
        return;
    }
    auto* known = this->find_entry(key);
    if (known == nullptr) {
        this->entries.emplace(this->hash(key), entry{key, &account});
        return;
    }
    if (known->account == &account) {
        return;
    }
    if (known->account != nullptr) {
        this->rejected.push_back({known->account->name, key_problem::shared_with_another_account});
        known->account = nullptr;
    }
    this->rejected.push_back({account.name, key_problem::shared_with_another_account});
}

} // namespace azureshore::balance
