#include "cardamomstream/request/ticket_book.h"

#include "cardamomstream/request/ticket_codec.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_open_invitations = 16;
constexpr milliseconds min_retry_after{1'000};

const std::string new_ticket_remedy = "get a new ticket from GET /v1/entry and submit again";
const std::string status_remedy =
    "wait for Retry-After, read the status, and submit with a new ticket only if the call has not run";

/// Rounds up; negative durations give 0.
milliseconds ceil_milliseconds(boot_clock::duration value)
{
    return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(value));
}

/// Rounds down; negative durations give 0.
milliseconds floor_milliseconds(boot_clock::duration value)
{
    return std::max(milliseconds{0}, std::chrono::floor<milliseconds>(value));
}

std::size_t answer_bytes(const kept_answer& answer)
{
    std::size_t bytes = answer.body.size();
    for (const auto& [header, value] : answer.headers) {
        bytes += header.size() + value.size();
    }
    return bytes;
}

error ticket_refused_error(std::string message, std::string remedy,
                           run_outcome outcome = run_outcome::not_run)
{
    return {error_kind::ticket_refused, std::move(message), std::move(remedy), outcome, {}};
}

error forged_ticket_error()
{
    return ticket_refused_error("the ticket was not issued by this fleet", new_ticket_remedy);
}

error run_by_passed_error()
{
    return ticket_refused_error("the ticket's time to start a run has passed and the call has not run",
                                new_ticket_remedy);
}

error expired_ticket_error()
{
    return ticket_refused_error("the ticket has ended and what became of the call is no longer kept",
                                "read the status, and submit with a new ticket only if the call has not run",
                                run_outcome::unknown);
}

error not_running_error()
{
    return {error_kind::internal,
            "the ticket has no running call",
            "report this as a fault",
            run_outcome::unknown,
            {}};
}

} // namespace

ticket_book::ticket_book(ticket_holder self, ticket_key key, ticket_settings settings, time_point epoch)
    : m_self(std::move(self))
    , m_key(key)
    , m_settings(settings)
    , m_epoch(epoch)
{
}

result<issued_ticket> ticket_book::issue(const customer_name& customer, const route_name& route,
                                         time_point now)
{
    if (!m_issuing) {
        return error{error_kind::stopping,
                     "this VM is stopping and issues no tickets",
                     "ask another VM of GET /v1/entry",
                     run_outcome::not_run,
                     {}};
    }
    expire(now);
    if (auto capacity_error = check_capacity(customer, now)) {
        return *std::move(capacity_error);
    }
    const auto run_by = std::chrono::floor<milliseconds>(now - m_epoch) + m_settings.run_window;
    ticket value{{m_self, ++m_last_number}, customer, route, run_by, {}};
    issued_ticket issued{write_ticket(value, m_key), value.id, m_settings.run_window};

    entry added;
    added.customer = customer;
    added.route = route;
    added.mac = value.mac;
    added.run_by = m_epoch + run_by;
    added.end = added.run_by + m_settings.settle_time;
    insert(value.id, std::move(added));
    return issued;
}

begin_decision ticket_book::begin(std::string_view text, const customer_name& customer,
                                  const route_name& route, const request_digest& digest, time_point now)
{
    const auto value = read_ticket(text);
    if (!value) {
        return value.error();
    }
    const ticket_id& id = value.value().id;
    // Expired records are not dropped before the look-up: a process resumed after a suspension can then still
    // tell that a call has not run.
    if (entry* found = find(id)) {
        if (!is_genuine(value.value(), *found)) {
            return forged_ticket_error();
        }
        return begin_recorded(id, *found, customer, route, digest, now);
    }
    if (const auto moved = m_moved.find(id); moved != m_moved.end()) {
        return pass_on{moved->second.successor};
    }
    return begin_unrecorded(value.value());
}

begin_decision ticket_book::begin_recorded(const ticket_id& id, entry& found, const customer_name& customer,
                                           const route_name& route, const request_digest& digest,
                                           time_point now)
{
    if (auto misuse = check_use(found, customer, route, digest, now)) {
        return *std::move(misuse);
    }
    switch (found.state) {
    case ticket_state::running:
        return still_running{settle_time_left(found, now)};
    case ticket_state::done:
        return answer_done(found, now);
    case ticket_state::unknown:
        return outcome_unknown_error(found, now);
    case ticket_state::issued:
        break;
    }
    if (now >= found.run_by) {
        return run_by_passed_error();
    }
    found.state = ticket_state::running;
    found.digest = digest;
    ++m_running;
    set_end(id, found, found.run_by + std::max(m_settings.settle_time, m_settings.keep_answer));
    return run_granted{id, found.run_by};
}

bool ticket_book::is_genuine(const ticket& value, const entry& found) const
{
    if (value.id.issuer == m_self) {
        return has_valid_mac(value, m_key);
    }
    // The key of a ticket that was taken over is not known.
    return is_same_mac(value.mac, found.mac) && value.customer == found.customer &&
           value.route == found.route;
}

begin_decision ticket_book::begin_unrecorded(const ticket& value) const
{
    if (value.id.issuer == m_self) {
        if (!has_valid_mac(value, m_key)) {
            return forged_ticket_error();
        }
        return expired_ticket_error();
    }
    if (value.id.issuer.vm != m_self.vm) {
        return pass_on{value.id.issuer};
    }
    return error{error_kind::outcome_unknown, "the process that issued the ticket no longer runs",
                 status_remedy, run_outcome::unknown, max_settle_time()};
}

std::optional<error> ticket_book::check_use(const entry& found, const customer_name& customer,
                                            const route_name& route, const request_digest& digest,
                                            time_point now) const
{
    if (found.customer != customer) {
        return ticket_refused_error("the ticket was issued to another customer", new_ticket_remedy);
    }
    if (found.route != route) {
        return ticket_refused_error("the ticket was issued for route \"" + found.route.str() + "\"",
                                    new_ticket_remedy);
    }
    if (!found.digest || *found.digest == digest) {
        return std::nullopt;
    }
    error other = ticket_refused_error(
        "the ticket was used with another request",
        "send the same request again, or read the status after Retry-After and get a new ticket");
    if (found.state != ticket_state::issued) {
        // Both requests may stand for the same submission, so the outcome of the first one is what matters.
        other.outcome = run_outcome::unknown;
        other.retry_after = settle_time_left(found, now);
    }
    return other;
}

begin_decision ticket_book::answer_done(const entry& found, time_point now) const
{
    if (now >= found.end) {
        return expired_ticket_error();
    }
    if (found.answer) {
        return replay_answer{*found.answer};
    }
    return error{error_kind::outcome_unknown, "the call has run but its answer is no longer kept",
                 "read the status; do not submit again", run_outcome::unknown, milliseconds{0}};
}

milliseconds ticket_book::settle_time_left(const entry& found, time_point now) const
{
    return ceil_milliseconds(found.run_by + m_settings.settle_time - now);
}

error ticket_book::outcome_unknown_error(const entry& found, time_point now) const
{
    return {error_kind::outcome_unknown, "the call may have run", status_remedy, run_outcome::unknown,
            settle_time_left(found, now)};
}

result<void> ticket_book::authorise_write(const ticket_id& id, time_point now)
{
    entry* found = find(id);
    if (found == nullptr || found->state != ticket_state::running) {
        return not_running_error();
    }
    if (found->byte_may_have_left) {
        return outcome_unknown_error(*found, now);
    }
    if (now >= found->run_by) {
        end_run(*found, ticket_state::issued);
        return run_by_passed_error();
    }
    found->byte_may_have_left = true;
    return boost::outcome_v2::success();
}

result<void> ticket_book::finish(const ticket_id& id, kept_answer answer, time_point now)
{
    entry* found = find(id);
    if (found == nullptr || found->state != ticket_state::running || !found->byte_may_have_left) {
        return not_running_error();
    }
    end_run(*found, ticket_state::done);
    store_answer(id, *found, std::move(answer));
    expire(now);
    return boost::outcome_v2::success();
}

error ticket_book::fail_unknown(const ticket_id& id, time_point now)
{
    entry* found = find(id);
    if (found == nullptr) {
        return not_running_error();
    }
    if (found->state == ticket_state::running) {
        end_run(*found, ticket_state::unknown);
    }
    return outcome_unknown_error(*found, now);
}

error ticket_book::fail_not_run(const ticket_id& id, const error& cause, time_point now)
{
    entry* found = find(id);
    const bool may_have_run = found == nullptr || found->byte_may_have_left ||
                              (found->state != ticket_state::running && found->state != ticket_state::issued);
    if (may_have_run) {
        return fail_unknown(id, now);
    }
    // `authorise_write` has ended the run if it refused.
    if (found->state == ticket_state::running) {
        end_run(*found, ticket_state::issued);
    }
    error answer = cause;
    answer.outcome = run_outcome::not_run;
    return answer;
}

void ticket_book::stop_issuing() noexcept
{
    m_issuing = false;
}

hand_over_invitation ticket_book::invite(time_point now)
{
    m_invitations[++m_last_invitation] = {now};
    if (m_invitations.size() > max_open_invitations) {
        m_invitations.erase(m_invitations.begin());
    }
    return {m_self, m_last_invitation};
}

hand_over_message ticket_book::hand_over(const hand_over_invitation& invitation, time_point now)
{
    stop_issuing();
    expire(now);
    hand_over_message value{m_self, invitation, {}};
    if (invitation.successor == m_self) {
        return value;
    }
    for (const auto& [id, held] : m_entries) {
        if (held.state == ticket_state::running) {
            continue;
        }
        value.tickets.push_back({id, held.customer, held.route, held.mac, held.state, held.digest,
                                 held.answer, floor_milliseconds(held.run_by - now),
                                 floor_milliseconds(held.end - now)});
        m_moved[id] = {invitation.successor, now + m_settings.run_window + m_settings.keep_answer};
    }
    for (const auto& handed : value.tickets) {
        erase(handed.id);
    }
    return value;
}

result<std::size_t> ticket_book::take_over(const hand_over_message& value, time_point now)
{
    const auto invited = m_invitations.find(value.invitation.number);
    if (value.invitation.successor != m_self || invited == m_invitations.end()) {
        return error{error_kind::invalid_argument,
                     "tickets were handed over without an open invitation",
                     "ask this VM for an invitation first",
                     run_outcome::not_run,
                     {}};
    }
    // Remaining times are counted from the invitation, which precedes the hand-over: a slow message shortens
    // them and never extends them.
    const time_point time_base = invited->second.created_at - m_settings.clock_margin;
    m_invitations.erase(invited);
    expire(now);
    std::size_t taken = 0;
    for (const auto& handed : value.tickets) {
        if (m_entries.size() >= m_settings.max_tickets) {
            break;
        }
        if (find(handed.id) != nullptr || handed.state == ticket_state::running) {
            continue;
        }
        insert_handed_over(handed, time_base);
        ++taken;
    }
    return taken;
}

void ticket_book::insert_handed_over(const handed_ticket& handed, time_point time_base)
{
    entry added;
    added.customer = handed.customer;
    added.route = handed.route;
    added.mac = handed.mac;
    added.state = handed.state;
    added.byte_may_have_left = handed.state != ticket_state::issued;
    added.digest = handed.digest;
    added.run_by = time_base + handed.run_by_left;
    added.end = time_base + handed.end_left;
    m_moved.erase(handed.id);
    insert(handed.id, std::move(added));
    if (handed.answer) {
        store_answer(handed.id, *find(handed.id), *handed.answer);
    }
}

void ticket_book::expire(time_point now)
{
    auto next = m_by_end.begin();
    while (next != m_by_end.end() && next->first <= now) {
        const ticket_id id = next->second;
        ++next;
        // The record of a running call is kept, so that `authorise_write` and `finish` still find it.
        if (m_entries.at(id).state != ticket_state::running) {
            erase(id);
        }
    }
    std::erase_if(m_moved, [now](const auto& moved) { return moved.second.end <= now; });
}

std::optional<ticket_state> ticket_book::state_of(const ticket_id& id) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return found->second.state;
}

std::size_t ticket_book::size() const noexcept
{
    return m_entries.size();
}

std::size_t ticket_book::running() const noexcept
{
    return m_running;
}

std::size_t ticket_book::kept_answer_bytes() const noexcept
{
    return m_answer_bytes;
}

const ticket_holder& ticket_book::self() const noexcept
{
    return m_self;
}

milliseconds ticket_book::max_settle_time() const noexcept
{
    return m_settings.run_window + m_settings.settle_time + m_settings.clock_margin;
}

std::optional<error> ticket_book::check_capacity(const customer_name& customer, time_point now) const
{
    const auto own = m_ends_by_customer.find(customer);
    const bool customer_full =
        own != m_ends_by_customer.end() && own->second.size() >= m_settings.max_tickets_per_customer;
    if (!customer_full && m_entries.size() < m_settings.max_tickets) {
        return std::nullopt;
    }
    const time_point first_end = customer_full ? *own->second.begin() : m_by_end.begin()->first;
    return error{error_kind::overloaded,
                 customer_full ? "customer \"" + customer.str() + "\" has too many open tickets at this VM"
                               : "this VM has too many open tickets",
                 "use the tickets that were issued, or come back after Retry-After", run_outcome::not_run,
                 std::max(min_retry_after, ceil_milliseconds(first_end - now))};
}

ticket_book::entry* ticket_book::find(const ticket_id& id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void ticket_book::insert(const ticket_id& id, entry value)
{
    m_by_end.emplace(value.end, id);
    m_ends_by_customer[value.customer].insert(value.end);
    m_entries.emplace(id, std::move(value));
}

void ticket_book::erase_end(const ticket_id& id, const entry& found)
{
    const auto [first, last] = m_by_end.equal_range(found.end);
    m_by_end.erase(std::find_if(first, last, [&id](const auto& item) { return item.second == id; }));
    const auto own = m_ends_by_customer.find(found.customer);
    own->second.erase(own->second.find(found.end));
    if (own->second.empty()) {
        m_ends_by_customer.erase(own);
    }
}

void ticket_book::set_end(const ticket_id& id, entry& found, time_point end)
{
    erase_end(id, found);
    found.end = end;
    m_by_end.emplace(end, id);
    m_ends_by_customer[found.customer].insert(end);
}

void ticket_book::erase(const ticket_id& id)
{
    entry& found = m_entries.at(id);
    erase_end(id, found);
    drop_answer(found);
    m_entries.erase(id);
    while (!m_answers_by_age.empty() && !has_answer(m_answers_by_age.front())) {
        m_answers_by_age.pop_front();
    }
}

void ticket_book::end_run(entry& found, ticket_state state)
{
    found.state = state;
    --m_running;
}

void ticket_book::store_answer(const ticket_id& id, entry& found, kept_answer answer)
{
    const std::size_t bytes = answer_bytes(answer);
    if (bytes > m_settings.max_kept_answer_bytes) {
        return;
    }
    found.answer = std::move(answer);
    m_answer_bytes += bytes;
    m_answers_by_age.push_back(id);
    while (m_answer_bytes > m_settings.max_kept_answer_bytes) {
        if (entry* oldest = find(m_answers_by_age.front())) {
            drop_answer(*oldest);
        }
        m_answers_by_age.pop_front();
    }
}

void ticket_book::drop_answer(entry& found)
{
    if (found.answer) {
        m_answer_bytes -= answer_bytes(*found.answer);
        found.answer.reset();
    }
}

bool ticket_book::has_answer(const ticket_id& id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.answer.has_value();
}

} // namespace cardamomstream
