#include "call/dispatch_request.h"

#include "decision/call_flow.h"

namespace lentilhoist {

namespace {

/// One overload for each kind of request.
struct request_dispatcher {
  call_ticket Ticket;
  instant Now;
  shard_owner &Owner;
  action_list &Actions;

  void operator()(const create_request &Request) const {
    onCreate(Request, Ticket, Now, Owner, Actions);
  }
  void operator()(const call_request &Request) const {
    onCall(Request, Ticket, Now, Owner, Actions);
  }
  void operator()(const end_request &Request) const {
    onEnd(Request.Program, Request.Reason, Ticket, Now, Owner, Actions);
  }
  void operator()(const history_request &Request) const {
    onReadHistory(Request.Program, Ticket, Now, Owner, Actions);
  }
  void operator()(const result_request &Request) const {
    onRemoteResult(Request.Call, Request.Result, Ticket, Now, Owner, Actions);
  }
  void operator()(const outcome_resolved &Request) const {
    onOutcomeResolved(Request, Ticket, Now, Owner, Actions);
  }
};

} // namespace

void dispatchRequest(const owner_request &Request, call_ticket Ticket,
                     instant Now, shard_owner &Owner, action_list &Actions) {
  std::visit(request_dispatcher{Ticket, Now, Owner, Actions}, Request);
}

} // namespace lentilhoist
