#include "cardamomstream/process/control_loop.h"

#include "allowance_controller.h"
#include "configuration_controller.h"
#include "control_state.h"
#include "list_controller.h"
#include "membership_controller.h"
#include "stop_controller.h"
#include "view_publisher.h"

#include <utility>

#include <boost/fiber/operations.hpp>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds membership_turn{100};
constexpr std::chrono::milliseconds allowance_turn{100};
constexpr std::chrono::milliseconds dispatch_turn{50};
constexpr std::chrono::milliseconds load_turn{500};

} // namespace

control_state::control_state(serving_parts process_parts, traffic_thread& control_thread,
                             request_service& requests)
    : parts(process_parts)
    , thread(control_thread)
    , service(requests)
    , client(control_thread.io(), {})
    , versions({}, {})
    , schedule(
          [&] {
              reader_settings settings;
              settings.reads_per_hour = process_parts.config.platform.reads_per_hour;
              return settings;
          }(),
          boot_clock::now())
    , members(process_parts.config.vm, process_parts.process, {})
    , random(process_parts.process.value)
{
}

class control_loop::impl : public std::enable_shared_from_this<control_loop::impl> {
public:
    impl(serving_parts parts, traffic_thread& thread, request_service& service)
        : m_state(parts, thread, service)
    {
    }

    peer_handlers handlers();
    void start();
    void stop(http_server& entry, std::function<void()> stopped);

private:
    /// Runs `turn` in a fiber of the control thread, again and again.
    template <class Turn>
    void repeat(std::chrono::milliseconds interval, Turn turn)
    {
        m_state.thread.spawn([self = shared_from_this(), interval, turn] {
            while (!self->m_state.stopped) {
                turn(*self);
                boost::this_fiber::sleep_for(interval);
            }
        });
    }

    void note_figures();

    control_state m_state;
    configuration_controller m_configuration{m_state};
    list_controller m_list{m_state};
    membership_controller m_members{m_state, m_configuration};
    allowance_controller m_allowance{m_state};
    bool m_stopping = false;
};

peer_handlers control_loop::impl::handlers()
{
    auto& parts = m_state.parts;
    peer_handlers handlers;
    handlers.exchange = [self = shared_from_this()](const vm_name& sender, const exchange_request& request) {
        return self->m_members.receive(sender, request);
    };
    handlers.read_configuration = [self = shared_from_this()](const std::optional<version_id>& held) {
        return self->m_configuration.answer(held);
    };
    handlers.borrow = [&parts](const loan_request& request) {
        return parts.allowance.with_lock(
            [&](allowance_book& book) { return book.lend(request, boot_clock::now()); });
    };
    handlers.return_loan = [&parts](const loan_return& value) {
        parts.allowance.with_lock([&](allowance_book& book) { book.accept(value, boot_clock::now()); });
    };
    handlers.ask_restart = [&parts](const restart_query& query) {
        return parts.allowance.with_lock(
            [&](allowance_book& book) { return book.answer_restart(query, boot_clock::now()); });
    };
    handlers.invite = [&parts] {
        return parts.tickets.with_lock([](ticket_book& book) { return book.invite(boot_clock::now()); });
    };
    handlers.hand_over = [&parts](const hand_over_message& value) {
        return parts.tickets.with_lock(
            [&](ticket_book& book) { return book.take_over(value, boot_clock::now()); });
    };
    handlers.forward = [&service = m_state.service](const vm_name& sender, const forward_request& request,
                                                    std::size_t thread, response_writer& writer) {
        service.serve_forwarded(sender, request, thread, writer);
    };
    return handlers;
}

void control_loop::impl::start()
{
    m_state.thread.spawn([self = shared_from_this()] { self->m_configuration.read_service(); });
    m_state.thread.spawn([self = shared_from_this()] { self->m_configuration.start_from_peers(); });
    m_state.thread.spawn([self = shared_from_this()] { self->m_list.read_list(); });
    repeat(membership_turn, [](impl& self) { self.m_members.tick(); });
    repeat(allowance_turn, [](impl& self) { self.m_allowance.tick(); });
    repeat(dispatch_turn, [](impl& self) { self.m_state.parts.dispatch.tick(boot_clock::now()); });
    repeat(load_turn, [](impl& self) {
        publish_loads(self.m_state);
        self.m_state.parts.tickets.with_lock([](ticket_book& book) { book.expire(boot_clock::now()); });
        self.note_figures();
    });
}

void control_loop::impl::note_figures()
{
    auto& counters = m_state.parts.counters;
    if (const auto age = m_state.versions.age(boot_clock::now())) {
        counters.configuration_age.set(*age);
    }
    for (const auto& [pool, figures] : m_state.parts.dispatch.stats()) {
        counters.queue_length.set(static_cast<double>(figures.queued), pool);
    }
}

void control_loop::impl::stop(http_server& entry, std::function<void()> stopped)
{
    m_state.thread.spawn([self = shared_from_this(), &entry, stopped = std::move(stopped)] {
        if (std::exchange(self->m_stopping, true)) {
            return;
        }
        stop_controller(self->m_state, self->m_members, entry).run();
        stopped();
    });
}

control_loop::control_loop(serving_parts parts, traffic_thread& thread, request_service& service)
    : m_impl(std::make_shared<impl>(parts, thread, service))
{
}

control_loop::~control_loop() = default;

peer_handlers control_loop::handlers()
{
    return m_impl->handlers();
}

void control_loop::start()
{
    m_impl->start();
}

void control_loop::stop(http_server& entry, std::function<void()> stopped)
{
    m_impl->stop(entry, std::move(stopped));
}

} // namespace cardamomstream
