#include "node_process.h"

#include "node_control.h"

#include "platform/message_format.h"

#include "cardamomstream/connection/http_server.h"
#include "cardamomstream/request/gateway/entry_limits.h"
#include "cardamomstream/request/gateway/request_flow.h"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <openssl/rand.h>

namespace cardamomstream {

namespace {

/// Callers keep an entry answer for a while after this VM has left it. Whoever sends later does so on a
/// connection that it should have left.
constexpr std::chrono::milliseconds stop_accept_time{2'000};

/// So long before the kill, requests without an answer get one that says so.
constexpr std::chrono::milliseconds stop_margin{800};

/// For these answers; then the process ends.
constexpr std::chrono::milliseconds last_answers_time{400};
constexpr std::chrono::milliseconds stop_poll{50};

/// So long before the end of the process connections are no longer kept for a further request.
constexpr std::chrono::milliseconds last_close_time{400};
constexpr std::chrono::milliseconds last_answers_poll{10};
constexpr std::chrono::milliseconds cut_log_time{100}; ///< longest wait for the traffic thread

constexpr std::chrono::milliseconds hop_header_timeout{10'000};

constexpr std::uint32_t descriptors_for_files = 200;
constexpr std::uint16_t metrics_port = 9'464; ///< the usual port of a Prometheus exporter

/// Until a caller for whom there is no entry asks again.
constexpr std::chrono::seconds entry_retry_delay{1};

std::uint64_t random_number()
{
    std::uint64_t value = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof value);
    return value;
}

// Parts of the machine's memory. The rest is for the program, its connections and what it knows.
constexpr std::size_t body_memory_divisor = 4;
constexpr std::size_t answer_memory_divisor = 10;
constexpr std::size_t read_memory_divisor = 32; ///< of each listener, and of the connections to upstreams
constexpr std::size_t question_memory_divisor = 128; ///< of each listener for questions

/// Questions have no body; for one that is sent all the same.
constexpr std::uint64_t max_question_body_bytes = 4 * 1024;
constexpr std::chrono::milliseconds question_idle_timeout{10'000};
constexpr std::size_t question_connections_divisor = 8; ///< of the descriptors for connections
constexpr std::size_t max_question_listeners = 3;       ///< for readiness, entries and metrics

std::size_t descriptors_for_connections(const node_settings& settings)
{
    return settings.max_descriptors - descriptors_for_files;
}

std::size_t question_connections(const node_settings& settings)
{
    return descriptors_for_connections(settings) / question_connections_divisor;
}

/// Of callers and other VMs together: what the listeners for questions leave.
std::size_t request_connections(const node_settings& settings)
{
    return descriptors_for_connections(settings) - max_question_listeners * question_connections(settings);
}

/// Where no plan states others.
http_limits default_limits(const node_settings& settings)
{
    http_limits limits;
    limits.max_header_bytes = 16 * 1024;
    limits.max_body_bytes = std::uint64_t{4} * 1024 * 1024;
    limits.header_timeout = std::chrono::milliseconds{3'000};
    limits.body_timeout = std::chrono::milliseconds{10'000};
    limits.idle_timeout = std::chrono::milliseconds{20'000};
    limits.write_timeout = std::chrono::milliseconds{10'000};
    limits.max_buffered_bytes = settings.memory_bytes / read_memory_divisor;
    // Each request may need a connection to an upstream beside the caller's.
    limits.max_connections = descriptors_for_connections(settings) / 2;
    return limits;
}

/// Of requests that another VM has admitted, whose plan may be newer than this VM's.
http_limits hop_limits(const node_settings& settings)
{
    auto limits = default_limits(settings);
    limits.max_header_bytes = longest_header_bytes;
    limits.max_body_bytes = entry_limits::max_body_bytes;
    limits.header_timeout = hop_header_timeout;
    return limits;
}

/// Of questions for readiness, entries and metrics.
http_limits question_limits(const node_settings& settings)
{
    http_limits limits;
    limits.max_body_bytes = max_question_body_bytes;
    limits.idle_timeout = question_idle_timeout;
    limits.max_buffered_bytes = settings.memory_bytes / question_memory_divisor;
    limits.max_connections = question_connections(settings);
    return limits;
}

http_client_settings upstream_connections(const node_settings& node)
{
    http_client_settings settings;
    settings.max_idle = std::chrono::milliseconds{4'000};
    settings.user_timeout = std::chrono::milliseconds{2'000};
    settings.max_buffered_bytes = node.memory_bytes / read_memory_divisor;
    return settings;
}

std::int64_t milliseconds_since(time_point from)
{
    return std::chrono::floor<std::chrono::milliseconds>(boot_clock::now() - from).count();
}

http_response not_found()
{
    http_response response;
    response.head.status = 404;
    return response;
}

} // namespace

class node_process::impl {
public:
    explicit impl(node_settings read)
        : settings(std::move(read))
        , client(traffic.front().io(), upstream_connections(settings))
        , state(settings, client, log, counters, random_number(),
                settings.memory_bytes / answer_memory_divisor)
        , control(settings, control_thread, traffic.front(), state, log, incarnation{random_number()})
        , bodies(std::make_shared<body_memory>(
              body_memory_settings{settings.memory_bytes / body_memory_divisor}))
        , connections(std::make_shared<connection_limit>(request_connections(settings)))
        , limits(default_limits(settings))
        , entry(
              traffic, limits.at(started_at),
              [this](const http_request& request, std::size_t /*thread*/, response_writer& writer) {
                  request_flow<platform::message_format>(state, request, writer).serve_caller();
              },
              bodies, connections)
        , inner(
              traffic, hop_limits(settings),
              [this](const http_request& request, std::size_t /*thread*/, response_writer& writer) {
                  serve_inner(request, writer);
              },
              bodies, connections)
    {
        state.on_plan = [this](const service_plan& plan) { apply_limits(plan); };
        entry.on_unserved([this](std::string_view reason) {
            counters.unserved_connections.increment(std::string(reason));
        });
    }

    result<void> start();
    void stop();

    node_settings settings;
    time_point started_at = boot_clock::now();
    decision_log log;
    gateway_metrics counters;
    traffic_thread control_thread;
    traffic_group traffic{1};
    http_client client;
    gateway_state state;
    node_control control;
    std::shared_ptr<body_memory> bodies;           ///< of the requests of callers and other VMs
    std::shared_ptr<connection_limit> connections; ///< of callers and other VMs
    entry_limits limits;                           ///< used on the traffic thread
    http_server entry;
    http_server inner;
    std::vector<std::unique_ptr<http_server>> questions; ///< restarts, entry answers and metrics

private:
    std::int64_t caller_connections() const
    {
        return static_cast<std::int64_t>(entry.open_connections() + inner.open_connections());
    }
    void apply_limits(const service_plan& plan);
    void await_last_answers(time_point until);
    void log_cut_requests(time_point stop_began);
    result<void> listen_for_questions(const endpoint& address);
    void serve_inner(const http_request& request, response_writer& writer);
    void serve_question(const http_request& request, response_writer& writer);
};

void node_process::impl::apply_limits(const service_plan& plan)
{
    const auto now = boot_clock::now();
    limits.apply(plan.document().limits, now);
    const auto in_force = limits.at(now);
    bodies->make_room_for(in_force.max_body_bytes);
    entry.set_limits(in_force);
    log.write(log_weight::state, "caller_limits",
              {{"plan", static_cast<std::int64_t>(plan.version())},
               {"header_bytes", std::int64_t{in_force.max_header_bytes}},
               {"body_bytes", static_cast<std::int64_t>(in_force.max_body_bytes)},
               {"header_ms", std::int64_t{in_force.header_timeout.count()}},
               {"idle_ms", std::int64_t{in_force.idle_timeout.count()}}});
    if (limits.at(now + entry_limits::notice_time) == in_force) {
        return;
    }
    // Then a limit that has fallen is in force.
    traffic.front().spawn([this] {
        boost::this_fiber::sleep_for(entry_limits::notice_time);
        entry.set_limits(limits.at(boot_clock::now()));
    });
}

void node_process::impl::serve_inner(const http_request& request, response_writer& writer)
{
    const auto hop = read_hop_headers(request.headers);
    if (!hop) {
        (void)writer.send(not_found()); // the inner port serves VMs only
        return;
    }
    request_flow<platform::message_format>(state, request, writer).serve_hop(*hop);
}

void node_process::impl::serve_question(const http_request& request, response_writer& writer)
{
    http_response response = not_found();
    if (platform::is_ready_path(request.path())) {
        response.head.status = state.ready() ? 200 : 503;
    }
    else if (platform::is_entry_path(request.path())) {
        const auto question = platform::read_entry_query(request);
        const auto* plan = state.deployment ? state.deployment->plan.get() : nullptr;
        const auto now = boot_clock::now();
        const auto entries = entry_addresses(
            question, settings, {plan, state.vms, state.restarts, now, state.ready(), state.links.lost()});
        response = platform::entry_answer(entries, entry_answer_lifetime);
        if (entries.empty()) {
            response.head.status = 503;
            response.head.headers.push_back({"Retry-After", std::to_string(entry_retry_delay.count())});
            counters.empty_entry_answers.increment();
            log.write(log_weight::failure, "no_entry",
                      {{"running_ms", milliseconds_since(started_at)},
                       {"vms", static_cast<std::int64_t>(count_vms(state.vms))}});
        }
    }
    else if (request.path() == "/metrics") {
        response.head.status = 200;
        response.head.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        counters.body_bytes.set(static_cast<double>(bodies->bytes()));
        counters.answer_bytes.set(static_cast<double>(state.held_answers.bytes()));
        response.body = counters.render();
    }
    (void)writer.send(response); // who has left needs no answer
}

result<void> node_process::impl::listen_for_questions(const endpoint& address)
{
    questions.push_back(std::make_unique<http_server>(
        traffic, question_limits(settings),
        [this](const http_request& request, std::size_t /*thread*/, response_writer& writer) {
            serve_question(request, writer);
        },
        bodies));
    BOOST_OUTCOME_TRY(questions.back()->listen(address));
    return boost::outcome_v2::success();
}

result<void> node_process::impl::start()
{
    BOOST_OUTCOME_TRY(control.start());
    BOOST_OUTCOME_TRY(inner.listen(settings.inner_listener));
    if (settings.ready_listener) {
        BOOST_OUTCOME_TRY(listen_for_questions(*settings.ready_listener));
    }
    if (settings.directory_listener && settings.directory_listener != settings.ready_listener) {
        BOOST_OUTCOME_TRY(listen_for_questions(*settings.directory_listener));
    }
    BOOST_OUTCOME_TRY(listen_for_questions({settings.ip, metrics_port}));
    if (settings.entry_listener) {
        BOOST_OUTCOME_TRY(entry.listen(*settings.entry_listener));
    }
    log.write(log_weight::state, "started",
              {{"region", settings.region.str()},
               {"data_centre", settings.data_centre.str()},
               {"store", settings.store.str()},
               {"seeds", static_cast<std::int64_t>(settings.seeds.size())}});
    return boost::outcome_v2::success();
}

void node_process::impl::stop()
{
    const auto began = boot_clock::now();
    log.write(log_weight::state, "stopping",
              {{"in_flight", static_cast<std::int64_t>(state.in_flight.load())},
               {"connections", caller_connections()}});
    const auto end = began + settings.bounds.stop_grace - stop_margin;
    state.begin_stop(began + stop_accept_time, end);
    control.announce_leaving();
    entry.announce_close();
    inner.announce_close();
    const auto refuse_connections_at = began + stop_accept_time;
    bool accepting = true;
    bool serving = true;
    while (boot_clock::now() < end && (serving || caller_connections() > 0)) {
        std::this_thread::sleep_for(stop_poll);
        const auto now = boot_clock::now();
        if (accepting && now >= refuse_connections_at) {
            accepting = false;
            entry.stop_accepting();
            inner.stop_accepting();
        }
        else if (serving && !accepting && !entry.accepting() && !inner.accepting() &&
                 (state.in_flight == 0 || now >= end - last_close_time)) {
            serving = false;
            entry.close_idle();
            inner.close_idle();
        }
    }
    if (state.in_flight > 0) {
        await_last_answers(end + last_answers_time);
    }
    if (state.in_flight > 0) {
        log_cut_requests(began);
    }
    log.write(log_weight::state, "stopped",
              {{"in_flight", static_cast<std::int64_t>(state.in_flight.load())},
               {"connections", caller_connections()},
               {"took_ms", milliseconds_since(began)}});
}

/// Answers what has no answer yet, and waits until the callers have received it.
void node_process::impl::await_last_answers(time_point until)
{
    boost::asio::post(traffic.front().io(), [this] { state.end_unanswered(); });
    while (boot_clock::now() < until && caller_connections() > 0) {
        std::this_thread::sleep_for(last_answers_poll);
    }
}

/// The end of the process cuts these requests.
void node_process::impl::log_cut_requests(time_point stop_began)
{
    const auto logged = std::make_shared<std::promise<void>>();
    auto done = logged->get_future();
    boost::asio::post(traffic.front().io(), [this, stop_began, logged] {
        for (const auto& request : state.served) {
            const auto after_signal =
                std::chrono::floor<std::chrono::milliseconds>(request.read_at - stop_began);
            log.write(log_weight::state, "cut_at_stop",
                      {{"request", request.id.str()},
                       {"route", request.route.str()},
                       {"hop", std::int64_t{request.hop ? 1 : 0}},
                       {"after_signal_ms", std::int64_t{after_signal.count()}},
                       {"took_ms", milliseconds_since(request.read_at)}});
        }
        logged->set_value();
    });
    if (done.wait_for(cut_log_time) != std::future_status::ready) {
        log.write(log_weight::failure, "cut_at_stop_unlogged", {});
    }
}

node_process::node_process(node_settings settings)
    : m_impl(std::make_unique<impl>(std::move(settings)))
{
}

node_process::~node_process() = default;

result<void> node_process::start()
{
    return m_impl->start();
}

void node_process::reload(const node_settings& settings)
{
    m_impl->control.learn_seeds(settings.seeds);
    m_impl->log.write(log_weight::state, "reloaded",
                      {{"seeds", static_cast<std::int64_t>(settings.seeds.size())}});
}

void node_process::stop()
{
    m_impl->stop();
}

} // namespace cardamomstream
