#include "azureshore/wire/seal.hpp"

#include "azureshore/core/failure.hpp"
#include "azureshore/wire/internal/replay_window.hpp"
#include "azureshore/wire/message.hpp"

#include <sodium.h>

#include <algorithm>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace azureshore::wire {

namespace {

constexpr unsigned char seal_version = 1;
constexpr std::size_t key_id_bytes = 4;
constexpr std::size_t number_bytes = 8;
constexpr std::size_t tag_bytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t nonce_bytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;

// version, key id, nonce (session and sequence), incarnation, length of the sender's name
constexpr std::size_t fixed_header_bytes = 1 + key_id_bytes + nonce_bytes + number_bytes + 1;
constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_sealed_bytes =
    fixed_header_bytes + max_name_bytes + max_message_bytes + tag_bytes;

static_assert(seal_key::size == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);

using key_id = std::string;

void start_library()
{
    static const int started = sodium_init();
    if (started < 0) {
        throw std::runtime_error("libsodium does not start");
    }
}

const unsigned char* data_of(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

unsigned char* data_of(std::string& bytes)
{
    return reinterpret_cast<unsigned char*>(bytes.data());
}

key_id id_of(const seal_key& key)
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> hash{};
    crypto_generichash(hash.data(), hash.size(), key.bytes.data(), key.bytes.size(), nullptr, 0);
    return {hash.begin(), hash.begin() + key_id_bytes};
}

void append_number(std::string& out, std::uint64_t number)
{
    for (std::size_t i = 0; i < number_bytes; ++i) {
        out += static_cast<char>(number >> (8 * i));
    }
}

std::uint64_t read_number(std::string_view in)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < number_bytes; ++i) {
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i])) << (8 * i);
    }
    return number;
}

// The header of a sealed message as it stands on the wire.
struct seal_header {
    std::string_view id;
    std::string_view nonce;
    std::uint64_t incarnation = 0;
    std::string_view sender;
    std::string_view whole;

    [[nodiscard]] std::string_view session() const
    {
        return this->nonce.substr(0, nonce_bytes - number_bytes);
    }
    [[nodiscard]] std::uint64_t sequence() const
    {
        return read_number(this->nonce.substr(nonce_bytes - number_bytes));
    }
};

std::optional<seal_header> read_header(std::string_view sealed)
{
    if (sealed.size() < fixed_header_bytes || sealed.front() != seal_version) {
        return std::nullopt;
    }
    const auto name_length = static_cast<unsigned char>(sealed[fixed_header_bytes - 1]);
    if (sealed.size() < fixed_header_bytes + name_length + tag_bytes) {
        return std::nullopt;
    }
    seal_header header;
    header.id = sealed.substr(1, key_id_bytes);
    header.nonce = sealed.substr(1 + key_id_bytes, nonce_bytes);
    header.incarnation = read_number(sealed.substr(1 + key_id_bytes + nonce_bytes));
    header.sender = sealed.substr(fixed_header_bytes, name_length);
    header.whole = sealed.substr(0, fixed_header_bytes + name_length);
    return header;
}

// The header and the receiver's name, which is not sent, are authenticated with the message.
std::string additional_data(std::string_view header, const vm_id& receiver)
{
    std::string data(header);
    data += receiver.value;
    return data;
}

} // namespace

absl::StatusOr<seal_key> parse_seal_key(std::string_view hexadecimal)
{
    seal_key key;
    std::size_t length = 0;
    const char* end = nullptr;
    const int result = sodium_hex2bin(key.bytes.data(), key.bytes.size(), hexadecimal.data(),
                                      hexadecimal.size(), nullptr, &length, &end);
    const bool whole = end == hexadecimal.data() + hexadecimal.size();
    if (result != 0 || length != seal_key::size || !whole) {
        return make_status(failure::settings_invalid, "a peer key is 64 hexadecimal digits");
    }
    return key;
}

sealer::sealer(vm_id this_vm, std::uint64_t this_incarnation, const seal_key& sending_key)
    : self(std::move(this_vm)), incarnation(this_incarnation), key(sending_key)
{
    start_library();
    if (this->self.value.size() > max_name_bytes) {
        throw std::invalid_argument("a VM's name is at most 255 bytes long");
    }
    randombytes_buf(this->session.data(), this->session.size());
}

std::string sealer::seal(const vm_id& to, std::string_view bytes)
{
    std::string sealed(1, static_cast<char>(seal_version));
    sealed += id_of(this->key);
    sealed.append(this->session.begin(), this->session.end());
    append_number(sealed, this->next_sequence++);
    append_number(sealed, this->incarnation);
    sealed += static_cast<char>(this->self.value.size());
    sealed += this->self.value;
    const auto data = additional_data(sealed, to);
    const std::string nonce = sealed.substr(1 + key_id_bytes, nonce_bytes);
    const auto start = sealed.size();
    sealed.resize(start + bytes.size() + tag_bytes);
    crypto_aead_xchacha20poly1305_ietf_encrypt(data_of(sealed) + start, nullptr, data_of(bytes),
                                               bytes.size(), data_of(data), data.size(), nullptr,
                                               data_of(nonce), this->key.bytes.data());
    return sealed;
}

class opener::state {
public:
    state(vm_id this_vm, const std::vector<seal_key>& accepted_keys, std::size_t sender_limit)
        : self(std::move(this_vm)), max_senders(std::max<std::size_t>(sender_limit, 1))
    {
        start_library();
        for (const auto& key : accepted_keys) {
            this->keys.emplace(id_of(key), key);
        }
    }

    absl::StatusOr<opened_message> open(std::string_view sealed)
    {
        auto opened = this->open_uncounted(sealed);
        ++this->counter_of(failure_of(opened.status()));
        return opened;
    }

    [[nodiscard]] opener_counts counts() const
    {
        return {this->accepted, this->unauthenticated, this->replayed, this->oversized,
                this->malformed};
    }

private:
    struct sender_state {
        std::uint64_t incarnation = 0;
        std::string session;
        detail::replay_window window;
        std::list<std::string>::iterator recency;
    };

    absl::StatusOr<opened_message> open_uncounted(std::string_view sealed)
    {
        if (sealed.size() > max_sealed_bytes) {
            return make_status(failure::message_oversized, "larger than a sealed message may be");
        }
        const auto header = read_header(sealed);
        if (!header) {
            return make_status(failure::message_malformed, "not a sealed message");
        }
        auto bytes = this->decrypt(*header, sealed.substr(header->whole.size()));
        if (!bytes) {
            return make_status(failure::message_unauthenticated, "not sealed for this VM by a key");
        }
        if (!this->is_new(*header)) {
            return make_status(failure::message_replayed, "seen before or of an earlier run");
        }
        return opened_message{{std::string(header->sender)}, header->incarnation, *bytes};
    }

    [[nodiscard]] std::optional<std::string> decrypt(const seal_header& header,
                                                     std::string_view secret) const
    {
        const auto key = this->keys.find(key_id(header.id));
        if (key == this->keys.end()) {
            return std::nullopt;
        }
        const auto data = additional_data(header.whole, this->self);
        std::string bytes(secret.size() - tag_bytes, '\0');
        const int result = crypto_aead_xchacha20poly1305_ietf_decrypt(
            data_of(bytes), nullptr, nullptr, data_of(secret), secret.size(), data_of(data),
            data.size(), data_of(header.nonce), key->second.bytes.data());
        return result == 0 ? std::optional(std::move(bytes)) : std::nullopt;
    }

    bool is_new(const seal_header& header)
    {
        const std::lock_guard lock(this->mutex);
        auto& sender = this->sender_of(std::string(header.sender));
        if (header.incarnation > sender.incarnation || sender.session.empty()) {
            sender.incarnation = header.incarnation;
            sender.session = header.session();
            sender.window = {};
        }
        return header.incarnation == sender.incarnation && header.session() == sender.session &&
               sender.window.take(header.sequence());
    }

    sender_state& sender_of(const std::string& name)
    {
        const auto found = this->senders.find(name);
        if (found != this->senders.end()) {
            this->recent.splice(this->recent.begin(), this->recent, found->second.recency);
            return found->second;
        }
        if (this->senders.size() == this->max_senders) {
            this->senders.erase(this->recent.back());
            this->recent.pop_back();
        }
        this->recent.push_front(name);
        auto& fresh = this->senders[name];
        fresh.recency = this->recent.begin();
        return fresh;
    }

    std::atomic<std::uint64_t>& counter_of(failure kind)
    {
        switch (kind) {
        case failure::none:
            return this->accepted;
        case failure::message_replayed:
            return this->replayed;
        case failure::message_oversized:
            return this->oversized;
        case failure::message_malformed:
            return this->malformed;
        default:
            return this->unauthenticated;
        }
    }

    vm_id self;
    std::size_t max_senders;
    std::unordered_map<key_id, seal_key> keys;
    std::mutex mutex;
    std::unordered_map<std::string, sender_state> senders;
    // Names of senders, the one heard last in front.
    std::list<std::string> recent;
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> replayed{0};
    std::atomic<std::uint64_t> oversized{0};
    std::atomic<std::uint64_t> malformed{0};
};

opener::opener(vm_id self, const std::vector<seal_key>& accepted_keys, std::size_t max_senders)
    : inner(std::make_unique<state>(std::move(self), accepted_keys, max_senders))
{
}

opener::~opener() = default;

absl::StatusOr<opened_message> opener::open(std::string_view sealed)
{
    return this->inner->open(sealed);
}

opener_counts opener::counts() const
{
    return this->inner->counts();
}

} // namespace azureshore::wire
