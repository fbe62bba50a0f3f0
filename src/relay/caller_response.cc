#include "relay/caller_response.h"

#include <utility>

#include "relay/header_rules.h"

namespace endiveyard {

BegunResponse::BegunResponse(std::shared_ptr<CallerConnection> connection)
    : connection_(std::move(connection)) {}

void BegunResponse::SendBody(std::string_view bytes) {
  connection_->SendBody(bytes);
}

void BegunResponse::Finish() && {
  std::exchange(connection_, nullptr)->Finish();
}

void BegunResponse::Abort() && {
  std::exchange(connection_, nullptr)->Abort();
}

UnsentResponse::UnsentResponse(std::shared_ptr<CallerConnection> connection)
    : connection_(std::move(connection)) {}

BegunResponse UnsentResponse::Begin(const CallerResponseHead& head) && {
  connection_->SendHead(head);
  return BegunResponse(std::exchange(connection_, nullptr));
}

void UnsentResponse::Respond(const CallerResponseHead& head,
                             std::string_view body) && {
  BegunResponse begun = std::move(*this).Begin(head);
  begun.SendBody(body);
  std::move(begun).Finish();
}

CallerResponseHead CallerHeadFrom(const TargetResponseHead& head) {
  CallerResponseHead caller_head;
  caller_head.status = head.status;
  caller_head.reason = head.reason;
  caller_head.headers = WithoutHopByHopHeaders(head.headers);
  return caller_head;
}

}  // namespace endiveyard
