/// The control thread's work: follows the store, exchanges reports with the other VMs, and publishes what is
/// known to the traffic thread.
#pragma once

#include "store_follower.h"

#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/process/control_pulse.h"
#include "cardamomstream/process/deployment/plan_confirmation.h"
#include "cardamomstream/process/deployment/report_exchange.h"
#include "cardamomstream/process/deployment/reported_ends.h"
#include "cardamomstream/process/deployment/store_reader_choice.h"
#include "cardamomstream/process/deployment/upstream_registry.h"
#include "cardamomstream/request/gateway/gateway_state.h"

#include <boost/asio/ip/udp.hpp>

namespace cardamomstream {

/// What the traffic thread has for the next report.
struct traffic_figures {
    std::vector<upstream_load> loads;
    std::vector<customer_use> uses;
    std::vector<lateness_sample> lateness;
    std::vector<stated_limit> limits;
    std::vector<stated_work> works;
    std::vector<upstream_end> upstream_ends;
    quarantine_report prompt_parts;
    quarantine_report requests;
    std::vector<reported_origins> stream_origins;
    std::optional<origin_query> asks_for_origins;
    bool links_lost = false;
};

class node_control {
public:
    /// All must outlive this object's thread.
    node_control(const node_settings& settings, traffic_thread& control, traffic_thread& traffic,
                 gateway_state& state, decision_log& log, incarnation process);

    /// Binds the inner port for datagrams and starts the fibers. Errors: invalid_settings.
    result<void> start();

    /// Announces to the other VMs at once that this one leaves; call from any thread.
    void announce_leaving();

    /// Addresses of VMs that may exist, after the settings file has changed; call from any thread.
    void learn_seeds(const std::vector<endpoint>& seeds);

private:
    void follow(store_follower& follower, bool lists_upstreams);
    void choose_reader(time_point now);
    void announce(const store_changes& changes);
    bool store_failed_lately(time_point now) const;
    bool after_outage(time_point now) const;
    void record_peer_changes(const vm_report& report, time_point now);
    void set_watch_pace(time_point now);

    void apply_listing(const store_batch& batch, bool lists_upstreams);
    /// What is known of the store when an entry is applied.
    struct store_condition {
        bool lapsed = false;   ///< it was down shortly before, so that entries may have expired
        bool restored = false; ///< the entry may be of a copy that is older than what was known
    };

    void apply(const store_item& item, store_condition condition);
    void apply_evacuation(const store_item& item);
    void log_evacuation(const data_centre_name& data_centre, bool began);
    void apply_plan(const store_item& item);
    void apply_upstream(const store_item& item, store_condition condition);
    void publish();

    void receive_reports();
    void report_periodically();
    void summarise_periodically();
    void report_from_traffic();
    void report_here();
    void confirm_upstreams();
    void answer_origin_query(const vm_report& query);
    /// Missed reports may have told where streams began.
    void note_missed_reports(const vm_report& report, time_point now);
    /// Of the plan in force; 0 before the first.
    version_number plan_version() const { return m_plan.get() ? m_plan.get()->version() : 0; }
    /// False after the process stood still: datagrams of that time are read as if they came now.
    bool receives_in_time(time_point now) const;
    /// Asks the store whether the plan is the newest, when neither it nor the other regions have confirmed
    /// it.
    void confirm_plan(time_point now);
    void log_confirmation(time_point confirmed_at, time_point now);
    void publish_vms(time_point now);
    void report(traffic_figures traffic);
    vm_report describe(time_point now) const;
    /// Returns the bytes sent, over all receivers.
    std::size_t send(const std::vector<outgoing_report>& reports);

    const node_settings& m_settings;
    traffic_thread& m_thread;
    traffic_thread& m_traffic;
    gateway_state& m_state;
    decision_log& m_log;
    http_client m_client;
    platform::store_client m_store;
    store_contact m_contact;
    store_follower m_operator_entries;
    store_follower m_upstream_entries;
    plan_in_force m_plan;
    upstream_registry m_upstreams;
    report_exchange m_exchange;
    store_reader_choice m_reader;
    plan_confirmation m_plan_confirmation;
    bool m_confirming_plan = false;
    time_point m_plan_asked_at;
    bool m_plan_unconfirmed = false;         ///< for longer than it is trusted; for the log
    control_pulse m_pulse{vm_alive_timeout}; ///< of `report_periodically`
    time_point m_drained_at;                 ///< of datagrams that came while the process stood still
    boost::asio::ip::udp::socket m_socket;
    time_point m_reported_at;
    bool m_early_report_waits = false; ///< a fiber makes it once the least interval is over
    time_point m_vms_published_at;
    reported_ends m_reported_ends;
    bool m_end_to_summarise = false; ///< a neighbour has reported an end since the last extra summary
    time_point m_summarised_at;      ///< beside the regular summaries
    bool m_leaving = false;
    bool m_confirmation_wanted = false;
    bool m_confirming = false;         ///< the fiber that reads the list anew is running
    bool m_answering_origins = false;  ///< the list is confirmed for an answer
    bool m_upstreams_listed = false;   ///< until then, upstreams may have started long ago
    bool m_evacuations_listed = false; ///< until then, evacuations may have begun long ago
};

} // namespace cardamomstream
