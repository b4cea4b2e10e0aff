#include "gateway_process.h"

#include "operators_handler.h"
#include "text_file.h"

#include "cardamomstream/connection/http_server.h"
#include "cardamomstream/connection/peer_server.h"
#include "cardamomstream/process/control_loop.h"
#include "cardamomstream/process/settings_reader.h"
#include "cardamomstream/request/request_service.h"

#include <utility>

#include <openssl/rand.h>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds pulse_limit{2'000};

template <class Value>
Value random_value()
{
    Value value{};
    RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof value);
    return value;
}

http_limits entry_limits(const settings& config)
{
    http_limits limits;
    limits.max_header_bytes = static_cast<std::uint32_t>(config.limits.max_header_bytes);
    limits.max_body_bytes = config.limits.max_body_bytes;
    limits.header_timeout = config.limits.header_timeout;
    limits.body_timeout = config.limits.body_timeout;
    limits.idle_timeout = config.limits.idle_timeout;
    limits.max_connections = config.limits.max_connections;
    return limits;
}

allowance_limits allowance_limits_of(const settings& config)
{
    allowance_limits limits;
    limits.loan_duration = config.allowance.loan_duration;
    limits.drift_margin = config.allowance.drift_margin;
    limits.lendable_fraction = config.allowance.lendable_fraction;
    return limits;
}

ticket_settings ticket_settings_of(const settings& config)
{
    ticket_settings limits;
    limits.run_window = config.tickets.run_by;
    limits.keep_answer = config.tickets.lifetime - config.tickets.run_by;
    limits.max_kept_answer_bytes = config.tickets.max_kept_answer_bytes;
    return limits;
}

result<peer_identity> identity_of(const settings& config)
{
    peer_identity identity;
    identity.vm = config.vm;
    BOOST_OUTCOME_TRY(identity.credential, load_fleet_credential(config.fleet));
    if (config.tls) {
        BOOST_OUTCOME_TRY(identity.certificate_pem, read_text_file(config.tls->certificate));
        BOOST_OUTCOME_TRY(identity.key_pem, read_text_file(config.tls->key));
        BOOST_OUTCOME_TRY(identity.authority_pem, read_text_file(config.tls->authority));
    }
    return identity;
}

} // namespace

class gateway_process::impl {
public:
    impl(settings settings_read, const peer_identity& identity)
        : config(std::move(settings_read))
        , process{random_value<std::uint64_t>()}
        , log(config.vm, process, config.events.capacity)
        , events(log)
        , allowance(config.vm, process, allowance_limits_of(config), boot_clock::now())
        , tickets(ticket_holder{config.vm, process}, random_value<ticket_key>(), ticket_settings_of(config),
                  boot_clock::now())
        , retries(retry_settings{})
        , dispatch(config.region, {}, process.value)
        , peers(identity)
        , pulse(pulse_limit)
        , traffic(config.traffic.threads)
        , clients(make_clients(traffic))
        , parts{config, process,  views, allowance, tickets, retries, dispatch,
                events, counters, peers, clients,   pulse,   stopping}
        , service(parts, traffic)
        , control(parts, control_thread, service)
        , peer_listener(identity, control_thread, traffic, control.handlers())
        , entry_listener(traffic, entry_limits(config),
                         [this](const http_request& request, std::size_t thread, response_writer& writer) {
                             service.serve(request, thread, writer);
                         })
        , operators_listener(operators_thread, {}, operators_handler(parts, log))
    {
    }

    result<void> start();
    void stop(std::function<void()> stopped);

    settings config;
    incarnation process;
    event_log log;
    event_recorder events;
    metrics counters;
    view_holder views;
    synchronized<allowance_book> allowance;
    synchronized<ticket_book> tickets;
    synchronized<retry_budget> retries;
    dispatcher dispatch;
    peer_client peers;
    control_pulse pulse;
    std::atomic<bool> stopping = false;
    traffic_thread control_thread;
    traffic_group operators_thread{1};
    traffic_group traffic;
    std::vector<std::unique_ptr<http_client>> clients;
    serving_parts parts;
    request_service service;
    control_loop control;
    peer_server peer_listener;
    http_server entry_listener;
    http_server operators_listener;

private:
    static std::vector<std::unique_ptr<http_client>> make_clients(traffic_group& threads)
    {
        std::vector<std::unique_ptr<http_client>> made;
        for (std::size_t thread = 0; thread < threads.size(); ++thread) {
            made.push_back(std::make_unique<http_client>(threads[thread].io(), http_client_settings{}));
        }
        return made;
    }
};

result<void> gateway_process::impl::start()
{
    BOOST_OUTCOME_TRY(peer_listener.listen(config.listeners.peer));
    BOOST_OUTCOME_TRY(operators_listener.listen(config.listeners.operators));
    BOOST_OUTCOME_TRY(entry_listener.listen(config.listeners.entry));
    events.record(event_kind::process_started, {{"region", config.region.str()}});
    control.start();
    spdlog::info("serving entry={} peer={} operators={} incarnation={:016x}", config.listeners.entry.str(),
                 config.listeners.peer.str(), config.listeners.operators.str(), process.value);
    return boost::outcome_v2::success();
}

void gateway_process::impl::stop(std::function<void()> stopped)
{
    control.stop(entry_listener, std::move(stopped));
}

gateway_process::gateway_process(std::unique_ptr<impl> parts)
    : m_impl(std::move(parts))
{
}

gateway_process::~gateway_process() = default;

result<std::unique_ptr<gateway_process>> gateway_process::create(const settings& config)
{
    BOOST_OUTCOME_TRY(const auto identity, identity_of(config));
    return std::unique_ptr<gateway_process>(new gateway_process(std::make_unique<impl>(config, identity)));
}

result<void> gateway_process::start()
{
    return m_impl->start();
}

void gateway_process::stop(std::function<void()> stopped)
{
    m_impl->stop(std::move(stopped));
}

} // namespace cardamomstream
