#include "front/usage_duty.h"

#include <utility>
#include <vector>

#include "endiveyard/telemetry/log_event_numbers.h"

namespace endiveyard {
namespace {

UsagePeerReport UsageOf(const PeerLoadReport& report) {
  UsagePeerReport usage;
  usage.statement = {report.sender, report.sequence, report.unix_ms,
                     report.usage};
  usage.duty_holder = report.duty_holder;
  usage.acks = report.usage_acks;
  return usage;
}

}  // namespace

UsageDuty::UsageDuty(const UsageReporterOptions& options,
                     LoadExchange* load_exchange,
                     JsonLog* log,
                     Metrics* metrics,
                     std::function<int64_t()> unix_ms)
    : load_exchange_(*load_exchange),
      log_(*log),
      metrics_(*metrics),
      unix_ms_(std::move(unix_ms)),
      exchange_({load_exchange->own_address(), options},
                MakeHandlers(),
                unix_ms_(),
                BootClock::now()) {
  LoadReportHooks hooks;
  hooks.fill = [this](PeerLoadReport* report, TimePoint now) {
    report->unix_ms = unix_ms_();
    if (report->duty_holder.address == 0) {
      report->duty_holder = exchange_.duty_holder(now);
    }
  };
  hooks.apply = [this](const PeerLoadReport& report, TimePoint now) {
    exchange_.RecordReport(UsageOf(report), now);
  };
  load_exchange_.AddHooks(std::move(hooks));
}

UsageExchangeHandlers UsageDuty::MakeHandlers() {
  UsageExchangeHandlers handlers;
  handlers.send = [this](uint32_t address, const UsageMessage& message) {
    PeerLoadReport report;
    report.usage = message.usage;
    report.usage_acks = message.acks;
    load_exchange_.SendDirect(address, std::move(report));
  };
  handlers.on_event = [this](const UsageEvent& event) { LogEvent(event); };
  return handlers;
}

void UsageDuty::RecordStart(const std::string& customer, TimePoint now) {
  metrics_.CountUsage();
  exchange_.RecordStart(customer, now);
}

void UsageDuty::SetCustomers(const CustomerTable& customers) {
  std::vector<std::string> names;
  names.reserve(customers.customers().size());
  for (const Customer& it : customers.customers()) {
    names.push_back(it.name);
  }
  exchange_.AddCustomers(names);
}

void UsageDuty::Tick(int64_t era, TimePoint now) {
  UsageTick tick;
  tick.unix_ms = unix_ms_();
  tick.era = era;
  tick.live = load_exchange_.LiveInstances();
  exchange_.Tick(tick, calls_, now);
}

void UsageDuty::LogEvent(const UsageEvent& event) {
  int number = kLogUsageReported;
  std::string outcome;
  switch (event.kind) {
    case UsageEventKind::kAccepted:
      outcome = "accepted";
      break;
    case UsageEventKind::kRepeated:
      number = kLogUsageReportRepeated;
      outcome = "repeated";
      break;
    case UsageEventKind::kDropped:
      number = kLogUsageWindowDropped;
      outcome = "dropped";
      break;
    case UsageEventKind::kIncomplete:
      number = kLogUsageIncomplete;
      outcome = "incomplete";
      break;
    case UsageEventKind::kUnknownCustomer:
      number = kLogUsageCustomerUnknown;
      outcome = "unknown_customer";
      break;
  }
  metrics_.CountUsageWindow(outcome);
  JsonFields fields;
  fields.Integer("window", event.window)
      .Integer("customers", event.customers)
      .Integer("requests", event.requests)
      .Integer("instances", event.instances)
      .Millis("since_end_ms", event.since_end);
  log_.Log(number, fields, BootClock::now());
}

}  // namespace endiveyard
