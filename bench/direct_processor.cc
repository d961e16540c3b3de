#include "direct_processor.h"

#include <algorithm>
#include <utility>

#include "direct_state.h"

namespace filbertstair::bench {
namespace {

// Runs the first waiting item and goes on with the next one at its end.
auto RunNext(Model& model, Entry& entry) -> void {
  auto& processor = entry.processor;
  processor.busy = !processor.waiting.empty();
  if (!processor.busy) return;
  auto item = std::move(processor.waiting.front());
  processor.waiting.pop_front();
  const auto end = model.now + ToDuration(item.ms / processor.cores);
  Schedule(model, end, [&model, &entry, item = std::move(item)] {
    LoadOf(model, entry).busy_ms += item.ms;
    entry.processor.free_at = model.now;
    item.run();
    if (entry.processor.free_at == model.now) {
      RunNext(model, entry);
    } else {
      Schedule(model, entry.processor.free_at, [&model, &entry] { RunNext(model, entry); });
    }
  });
}

// Takes a batch of the backlog, and the next one after what waits then.
auto AcceptBatch(Model& model, Entry& entry) -> void {
  auto& processor = entry.processor;
  processor.accepting = false;
  for (std::size_t i = 0; i < kAcceptBatch && !processor.backlog.empty(); ++i) {
    processor.waiting.push_back(std::move(processor.backlog.front()));
    processor.backlog.pop_front();
  }
  if (processor.backlog.empty()) return;
  processor.accepting = true;
  Submit(model, entry, 0, [&model, &entry] { AcceptBatch(model, entry); });
}

}  // namespace

auto Submit(Model& model, Entry& entry, double ms, std::function<void()> run) -> void {
  if (entry.processor.cores == 0) {
    run();
    return;
  }
  entry.processor.waiting.push_back({ms, std::move(run)});
  if (!entry.processor.busy) RunNext(model, entry);
}

auto Connect(Model& model, Entry& entry, double ms, std::function<void()> run) -> void {
  auto& processor = entry.processor;
  if (processor.cores == 0) {
    run();
    return;
  }
  processor.backlog.push_back({ms, std::move(run)});
  if (std::exchange(processor.accepting, true)) return;
  Submit(model, entry, 0, [&model, &entry] { AcceptBatch(model, entry); });
}

auto Spend(Model& model, Entry& entry, double ms) -> void {
  if (entry.processor.cores == 0) return;
  LoadOf(model, entry).busy_ms += ms;
  entry.processor.free_at += ToDuration(ms / entry.processor.cores);
}

auto DoneAt(const Model& model, const Entry& entry) -> core::Time {
  return std::max(model.now, entry.processor.free_at);
}

}  // namespace filbertstair::bench
