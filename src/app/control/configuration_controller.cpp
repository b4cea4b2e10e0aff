#include "configuration_controller.h"

#include "list_controller.h"
#include "platform_reader.h"
#include "view_publisher.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds longest_pause{1'000};
constexpr std::chrono::milliseconds peer_limit{1'000};
constexpr std::chrono::milliseconds start_pause{300};
constexpr std::chrono::milliseconds watch_time{20'000};
constexpr std::size_t max_peers_asked = 4;

} // namespace

void configuration_controller::read_service()
{
    while (!m_state.stopped) {
        const auto decision = m_state.schedule.next(is_reader(), boot_clock::now(), m_state.random);
        if (decision.action == read_action::wait) {
            const auto pause = std::clamp<boot_clock::duration>(decision.at - boot_clock::now(),
                                                                std::chrono::milliseconds{1}, longest_pause);
            boost::this_fiber::sleep_for(pause);
            continue;
        }
        const auto held = m_state.versions.current();
        const auto wait =
            decision.action == read_action::watch ? watch_time : std::chrono::milliseconds::zero();
        auto answer =
            read_platform(m_state, platform_service::configuration, "rules", held ? held->number : 0, wait);
        if (!answer) {
            spdlog::warn("configuration read failed message=\"{}\"", answer.error().message);
            m_state.schedule.read_failed(boot_clock::now(), m_state.random);
            continue;
        }
        m_state.schedule.read_succeeded(boot_clock::now());
        if (answer.value()) {
            take(m_state.versions.offer(
                     version_document{answer.value()->version, std::move(answer.value()->text)},
                     boot_clock::now()),
                 "service");
        }
        else if (held) {
            m_state.versions.confirm(*held, boot_clock::now());
            confirm({});
        }
    }
}

void configuration_controller::start_from_peers()
{
    while (!m_state.stopped && (!m_state.confirmed || !m_state.list)) {
        for (const auto& peer : peers_to_ask()) {
            fetch_from(peer, m_state.list ? m_state.versions.current() : std::nullopt);
        }
        boost::this_fiber::sleep_for(start_pause);
    }
}

std::vector<peer_address> configuration_controller::peers_to_ask() const
{
    std::vector<peer_address> peers;
    for (const auto& seed : m_state.parts.config.seeds) {
        peers.push_back({vm_name{"seed"}, seed});
    }
    for (const auto& [name, known] : m_state.members.members()) {
        if (name != m_state.parts.config.vm && m_state.members.is_usable(name)) {
            peers.push_back({name, known.peer});
        }
    }
    std::shuffle(peers.begin(), peers.end(), m_state.random);
    peers.resize(std::min(peers.size(), max_peers_asked));
    return peers;
}

void configuration_controller::note_peer(const peer_address& peer, const std::optional<version_id>& held)
{
    const auto& own = m_state.versions.current();
    if (!held) {
        return;
    }
    if (own && *held <= *own) {
        if (*held == *own) {
            confirm({});
        }
        return;
    }
    if (!m_asking.insert(peer.vm).second) {
        return;
    }
    m_state.parts.events.record(
        event_kind::configuration_behind,
        {{"vm", peer.vm.str()}, {"version", static_cast<std::int64_t>(held->number)}});
    m_state.thread.spawn([this, peer] {
        fetch_from(peer, m_state.versions.current());
        m_asking.erase(peer.vm);
    });
}

void configuration_controller::fetch_from(const peer_address& peer, std::optional<version_id> held)
{
    auto reply = m_state.parts.peers.read_configuration(peer, held, peer_limit);
    if (!reply) {
        return;
    }
    if (const auto& list = reply.value().list) {
        take_list(m_state, list->version, list->text);
    }
    if (!reply.value().update) {
        note_peer(peer, reply.value().version);
        return;
    }
    const auto verdict = m_state.versions.offer(*reply.value().update, boot_clock::now());
    take(verdict, peer.vm.str());
    const bool needs_text =
        verdict.verdict == offer_verdict::base_not_held || verdict.verdict == offer_verdict::digest_mismatch;
    if (needs_text && held) {
        fetch_from(peer, std::nullopt);
    }
}

read_configuration_reply configuration_controller::answer(const std::optional<version_id>& held) const
{
    read_configuration_reply reply;
    reply.version = m_state.versions.current();
    reply.update = m_state.versions.update_for(held);
    reply.confirmed_age = m_state.versions.age(boot_clock::now());
    if (!held && m_state.list) {
        reply.list = list_document{m_state.list->version, m_state.list_text};
    }
    return reply;
}

void configuration_controller::take(const offer_result& verdict, const std::string& source)
{
    if (verdict.verdict == offer_verdict::accepted) {
        const auto number = static_cast<std::int64_t>(m_state.versions.current()->number);
        spdlog::info("configuration accepted version={} source={}", number, source);
        m_state.parts.events.record(event_kind::configuration_accepted,
                                    {{"version", number}, {"source", source}});
        m_state.parts.counters.configuration_version.set(static_cast<double>(number));
        m_state.confirmed = true;
        publish_view(m_state);
        return;
    }
    if (verdict.verdict == offer_verdict::already_held) {
        confirm({});
        return;
    }
    if (verdict.verdict == offer_verdict::refused && verdict.reason) {
        spdlog::error("configuration refused source={} message=\"{}\"", source, describe(*verdict.reason));
        m_state.parts.events.record(event_kind::configuration_refused,
                                    {{"source", source}, {"reason", describe(*verdict.reason)}});
    }
}

void configuration_controller::confirm(std::chrono::milliseconds age)
{
    m_state.schedule.confirmed_by_peer(boot_clock::now() - age);
    if (m_state.confirmed) {
        return;
    }
    m_state.confirmed = true;
    publish_view(m_state);
}

void configuration_controller::forget_confirmation()
{
    m_state.confirmed = false;
    m_state.schedule.woke_after_pause();
    publish_view(m_state);
    m_state.thread.spawn([this] { start_from_peers(); });
}

bool configuration_controller::is_reader() const
{
    std::vector<reader_candidate> live;
    for (const auto& vm : m_state.members.believed_live()) {
        const auto* known = m_state.members.find(vm);
        if (known != nullptr) {
            live.push_back({vm, known->data_centre});
        }
    }
    const auto readers = choose_readers(live, reader_settings{});
    return readers.empty() ||
           std::find(readers.begin(), readers.end(), m_state.parts.config.vm) != readers.end();
}

} // namespace cardamomstream
