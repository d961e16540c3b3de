#include "filbertstair/wire/request.h"

#include "convert.h"

namespace filbertstair::wire {
namespace {

using detail::FromEnum;
using detail::ToEnum;

template <typename Repeated>
auto CopyHeaders(const Headers& headers, Repeated* out) -> void {
  for (const auto& [name, value] : headers) {
    auto* header = out->Add();
    header->set_name(name);
    header->set_value(value);
  }
}

template <typename Repeated>
auto ToHeaders(const Repeated& headers) -> Headers {
  Headers out;
  for (const auto& header : headers) out.emplace_back(header.name(), header.value());
  return out;
}

auto Fill(const Submit& from, pb::RequestMessage& envelope) -> void {
  auto& to = *envelope.mutable_submit();
  detail::CopyAttemptId(from.attempt, to.mutable_attempt());
  to.set_grant(from.grant);
  to.set_endpoint_incarnation(from.endpoint);
  to.set_service(from.service);
  to.set_workspace(from.workspace);
  to.set_document_version(from.document_version);
  to.set_call_class(FromEnum(from.call_class));
  to.set_key(from.key);
  to.set_key_issued_ms(from.key_issued_ms);
  to.set_remaining_us(static_cast<std::uint64_t>(from.remaining.count()));
  to.set_cost_hint_us(static_cast<std::uint64_t>(from.cost_hint));
  to.set_method(from.method);
  to.set_target(from.target);
  CopyHeaders(from.headers, to.mutable_headers());
  to.set_body(from.body);
  to.set_request_id(from.request_id);
}

auto Fill(const Verdict& from, pb::RequestMessage& envelope) -> void {
  auto& to = *envelope.mutable_verdict();
  to.set_admitted(from.admitted);
  to.set_reason(FromEnum(from.reason));
  to.set_status(FromEnum(from.status));
}

auto Fill(const Head& from, pb::RequestMessage& envelope) -> void {
  auto& to = *envelope.mutable_head();
  to.set_status(static_cast<std::uint32_t>(from.status));
  CopyHeaders(from.headers, to.mutable_headers());
}

auto Fill(const Chunk& from, pb::RequestMessage& envelope) -> void {
  envelope.mutable_chunk()->set_data(from.data);
}

auto Fill(const End& from, pb::RequestMessage& envelope) -> void {
  auto& to = *envelope.mutable_end();
  to.set_complete(from.complete);
  to.set_reason(FromEnum(from.reason));
  to.set_outcome(FromEnum(from.outcome));
  to.set_cost_us(static_cast<std::uint64_t>(from.cost));
  to.set_message(from.message);
}

auto Fill(const Withdraw& from, pb::RequestMessage& envelope) -> void {
  auto& to = *envelope.mutable_withdraw();
  detail::CopyAttemptId(from.attempt, to.mutable_attempt());
  to.set_endpoint_incarnation(from.endpoint);
}

auto Fill(const Withdrawn& from, pb::RequestMessage& envelope) -> void {
  envelope.mutable_withdrawn()->set_status(FromEnum(from.status));
}

auto ToStruct(const pb::Submit& from, const std::string& peer) -> Submit {
  Submit to;
  to.attempt = detail::ToAttemptId(from.attempt());
  to.grant = from.grant();
  to.endpoint = from.endpoint_incarnation();
  to.service = from.service();
  to.workspace = from.workspace();
  to.document_version = from.document_version();
  to.call_class = ToEnum<core::CallClass>(from.call_class(), peer);
  to.key = from.key();
  to.key_issued_ms = from.key_issued_ms();
  to.remaining = detail::ToDuration(from.remaining_us());
  to.cost_hint = static_cast<core::Cost>(from.cost_hint_us());
  to.method = from.method();
  to.target = from.target();
  to.headers = ToHeaders(from.headers());
  to.body = from.body();
  to.request_id = from.request_id();
  return to;
}

auto ToStruct(const pb::End& from, const std::string& peer) -> End {
  return {from.complete(), ToEnum<core::Reason>(from.reason(), peer),
          ToEnum<core::Outcome>(from.outcome(), peer), static_cast<core::Cost>(from.cost_us()),
          from.message()};
}

auto ToStruct(const pb::Verdict& from, const std::string& peer) -> Verdict {
  return {from.admitted(), ToEnum<core::Reason>(from.reason(), peer),
          ToEnum<core::Outcome>(from.status(), peer)};
}

}  // namespace

auto Encode(const RequestMessage& message) -> std::string {
  pb::RequestMessage envelope;
  std::visit([&](const auto& from) { Fill(from, envelope); }, message);
  return envelope.SerializeAsString();
}

auto DecodeRequest(std::string_view bytes, const std::string& peer) -> RequestMessage {
  pb::RequestMessage envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    throw core::Error(core::Step::decode, peer, "malformed request message");
  }
  switch (envelope.kind_case()) {
    case pb::RequestMessage::kSubmit:
      return ToStruct(envelope.submit(), peer);
    case pb::RequestMessage::kVerdict:
      return ToStruct(envelope.verdict(), peer);
    case pb::RequestMessage::kHead:
      return Head{static_cast<int>(envelope.head().status()), ToHeaders(envelope.head().headers())};
    case pb::RequestMessage::kChunk:
      return Chunk{envelope.chunk().data()};
    case pb::RequestMessage::kEnd:
      return ToStruct(envelope.end(), peer);
    case pb::RequestMessage::kWithdraw:
      return Withdraw{detail::ToAttemptId(envelope.withdraw().attempt()),
                      envelope.withdraw().endpoint_incarnation()};
    case pb::RequestMessage::kWithdrawn:
      return Withdrawn{ToEnum<core::Outcome>(envelope.withdrawn().status(), peer)};
    case pb::RequestMessage::KIND_NOT_SET:
      break;
  }
  throw core::Error(core::Step::decode, peer, "unknown request message");
}

}  // namespace filbertstair::wire
