#ifndef FILBERTSTAIR_TESTS_JUDGE_JUDGE_H_
#define FILBERTSTAIR_TESTS_JUDGE_JUDGE_H_

#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "tests/judge/history.h"

namespace filbertstair::judge {

// A rule of the users' page.
enum class Rule { budget, lost, refused, twice, drain, gone, config, order, denied, recover };

// A way in which a rule is broken.
enum class Form {
  // More repeats at a service within the retry window than its bound.
  repeats,
  // Requests that ran at more replicas than their route's attempts.
  replicas,
  // Requests that were handed to replicas with more time than was left.
  deadlines,
  // Requests that reached a replica before the end of its `Retry-After`.
  unwanted,
  // Requests that crash replicas, sent on after the fifth crash.
  deadly,
  // Kept connections closed without an answer though a sound replica had the request.
  kept_close,
  // Requests that were read and cut around SIGTERM, SIGHUP or a new configuration.
  stop,
  reload,
  configuration,
  // Requests that may run once, and were refused as not run or ran twice.
  refused_and_ran,
  ran_again,
  // Requests that went on at another replica while the one before was at work.
  overlap,
  // Requests sent to a replica after its leaving was acknowledged.
  left_replica,
  // Requests sent to a replica, or still at work there, after the client's close.
  sent_after_close,
  work_after_close,
  // Requests without an answer after their route's timeout.
  timeouts,
  // Streams with missing or repeated pieces.
  pieces,
  // Proper requests that were denied, by all entries and by those out of touch.
  denied,
  denied_out_of_touch,
  // Requests that were not served after the last disturbance.
  not_served
};

// A broken rule. `at` is the time of the first request or the start of the window.
struct Finding {
  Rule rule = Rule::budget;
  Form form = Form::repeats;
  Time at = 0;
  std::vector<std::string> requests;
  std::string detail;
};

// Traffic of a service. The worst window is the one with the most repeats for its bound.
struct ServiceFigures {
  std::string service;
  int requests = 0;
  int arrivals = 0;
  int repeats = 0;
  Time worst_from = 0;
  int worst_repeats = 0;
  double worst_bound = 0;
  // `worst_repeats` / `worst_bound`; the rule is broken above 1.
  double worst_ratio = 0;
};

// Figures of a run in which a trend shows before a rule breaks. Nothing is excused in them.
struct Figures {
  int requests = 0;
  int arrivals = 0;
  std::vector<ServiceFigures> services;
  // Arrivals without a deadline, or with one that ends over 0.5 s after the client's.
  int late_deadlines = 0;
  // Requests that ended without a status though the client had not given up, and those of them that
  // a replica had.
  int closes_without_answer = 0;
  int closes_after_arrival = 0;
};

// Returns the rules that the run broke, one entry for each form and, where the form asks for it,
// each service or pair of entry and replica.
auto Judge(const History& history) -> std::vector<Finding>;

auto Measure(const History& history) -> Figures;

}  // namespace filbertstair::judge

namespace filbertstair::core {
template <>
inline constexpr NameTable<judge::Rule, 10> kNames<judge::Rule>{
    {{judge::Rule::budget, "BUDGET"},
     {judge::Rule::lost, "LOST"},
     {judge::Rule::refused, "REFUSED"},
     {judge::Rule::twice, "TWICE"},
     {judge::Rule::drain, "DRAIN"},
     {judge::Rule::gone, "GONE"},
     {judge::Rule::config, "CONFIG"},
     {judge::Rule::order, "ORDER"},
     {judge::Rule::denied, "DENIED"},
     {judge::Rule::recover, "RECOVER"}}};

template <>
inline constexpr NameTable<judge::Form, 20> kNames<judge::Form>{
    {{judge::Form::repeats, "repeats"},
     {judge::Form::replicas, "replicas"},
     {judge::Form::deadlines, "deadlines"},
     {judge::Form::unwanted, "unwanted"},
     {judge::Form::deadly, "deadly"},
     {judge::Form::kept_close, "kept_close"},
     {judge::Form::stop, "stop"},
     {judge::Form::reload, "reload"},
     {judge::Form::configuration, "configuration"},
     {judge::Form::refused_and_ran, "refused_and_ran"},
     {judge::Form::ran_again, "ran_again"},
     {judge::Form::overlap, "overlap"},
     {judge::Form::left_replica, "left_replica"},
     {judge::Form::sent_after_close, "sent_after_close"},
     {judge::Form::work_after_close, "work_after_close"},
     {judge::Form::timeouts, "timeouts"},
     {judge::Form::pieces, "pieces"},
     {judge::Form::denied, "denied"},
     {judge::Form::denied_out_of_touch, "denied_out_of_touch"},
     {judge::Form::not_served, "not_served"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_TESTS_JUDGE_JUDGE_H_
