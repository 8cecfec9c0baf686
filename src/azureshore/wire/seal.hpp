#pragma once

#include "azureshore/core/ids.hpp"

#include <absl/status/statusor.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::wire {

// A secret that all entry VMs of one system share.
struct seal_key {
    static constexpr std::size_t size = 32;
    std::array<unsigned char, size> bytes{};

    bool operator==(const seal_key&) const = default;
};

// Reads a key written as 64 hexadecimal digits; fails with failure::settings_invalid.
absl::StatusOr<seal_key> parse_seal_key(std::string_view hexadecimal);

// Encrypts and authenticates messages of one run of one VM. May be used by several threads.
class sealer {
public:
    // `incarnation` must be higher than that of the VM's last run, such as the milliseconds of
    // the wall clock at the start: receivers refuse an older one.
    sealer(vm_id self, std::uint64_t incarnation, const seal_key& key);

    // The bytes of a message as only the VM `to` will accept it.
    std::string seal(const vm_id& to, std::string_view bytes);

private:
    static constexpr std::size_t session_bytes = 16;

    vm_id self;
    std::uint64_t incarnation;
    seal_key key;
    std::array<unsigned char, session_bytes> session{};
    std::atomic<std::uint64_t> next_sequence{1};
};

// A message whose sender is proved.
struct opened_message {
    vm_id from;
    std::uint64_t incarnation = 0;
    std::string bytes;
};

// What an opener did with messages since it was made.
struct opener_counts {
    std::uint64_t accepted = 0;
    // From a foreign key, meant for another VM, or damaged.
    std::uint64_t unauthenticated = 0;
    // Seen before, too old to tell, or of an earlier run of the sender.
    std::uint64_t replayed = 0;
    std::uint64_t oversized = 0;
    std::uint64_t malformed = 0;
};

// Opens what sealers of other VMs made. May be used by several threads.
class opener {
public:
    // Senders that are remembered for the detection of replays; beyond that the one heard longest
    // ago is forgotten.
    static constexpr std::size_t default_max_senders = 4096;

    opener(vm_id self, const std::vector<seal_key>& accepted_keys,
           std::size_t max_senders = default_max_senders);
    ~opener();
    opener(const opener&) = delete;
    opener& operator=(const opener&) = delete;
    opener(opener&&) = delete;
    opener& operator=(opener&&) = delete;

    // Fails with message_unauthenticated, message_replayed, message_oversized or
    // message_malformed.
    absl::StatusOr<opened_message> open(std::string_view sealed);

    [[nodiscard]] opener_counts counts() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::wire
