// How a daemon that starts finds out that no other one runs. That none answers is no proof, as
// links between daemons may be cut, and neither is what the store holds of those that announced
// themselves: nobody withdraws the announcement of a daemon that is gone. But a daemon that lives
// and reads the store announces itself again after this one has. The same shows that a daemon knows
// all others if those that it knows have no view of the members to tell either.

#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <string>

namespace azureshore::sharing {

namespace {

// A daemon that hears of nobody announces itself this long after its start, and one that others
// have told something, but no view of the members, after the second of these.
constexpr duration silence_patience = std::chrono::seconds(1);
constexpr duration view_patience = std::chrono::seconds(2);
// The time between two attempts to announce itself.
constexpr duration announcement_retry_delay = std::chrono::seconds(2);
// If no other daemon has announced itself for this long after this one did, no unknown one runs. A
// reader has looked at the announcements by then, even if one of its calls failed.
constexpr duration later_announcement_patience = 2 * members_list_interval;

} // namespace

void store_sharing::state::watch_for_others()
{
    if (this->met_others) {
        return;
    }
    const bool heard = this->peer_heard_at >= this->started_at;
    if (this->now() - this->started_at < (heard ? view_patience : silence_patience)) {
        this->run_after(this->jittered(silence_patience),
                        [](state& self) { self.watch_for_others(); });
        return;
    }
    this->announce([](state& self, bool stored) {
        if (stored) {
            self.run_after(later_announcement_patience,
                           [](state& later) { later.look_for_later_announcements(); });
        }
        else {
            self.run_after(self.jittered(announcement_retry_delay),
                           [](state& later) { later.watch_for_others(); });
        }
    });
}

void store_sharing::state::look_for_later_announcements()
{
    if (this->met_others) {
        return;
    }
    this->members_topic.list([weak = this->weak_from_this()](const platform::keyed_list& result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!result.ok) {
            self->run_after(self->jittered(store_retry_delay),
                            [](state& later) { later.look_for_later_announcements(); });
            return;
        }
        const auto found = self->read_announcements(result.records);
        const bool heard = self->now() - self->peer_heard_at < later_announcement_patience;
        const bool knows_others = !self->known_members.others().empty();
        if (!found.self_announced || found.unknown_is_later || heard != knows_others) {
            self->handle_announced_members(found);
            self->watch_for_others();
            return;
        }
        self->take_view_as_complete();
    });
}

void store_sharing::state::take_view_as_complete()
{
    if (this->met_others) {
        return;
    }
    this->met_others = !this->known_members.others().empty();
    if (!this->met_others) {
        this->known_members.confirm_alone();
    }
    this->members_listed = true;
    if (this->hooks.decided) {
        this->hooks.decided({"members_complete",
                             {{"serving", std::to_string(this->known_members.serving_count())}}});
    }
    this->list_unlisted_topics();
    this->hooks.members_changed();
}

} // namespace azureshore::sharing
