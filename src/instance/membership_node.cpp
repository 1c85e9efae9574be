#include "instance/membership_node.h"

#include <future>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::milliseconds SeedWait{1'000};

} // namespace

membership_node::membership_node(membership Initial)
    : Socket(Context), Timer(Context), Group(std::move(Initial)) {
  publish();
}

membership_node::~membership_node() { stop(); }

void membership_node::start() {
  const asio::ip::udp::endpoint Local(
      asio::ip::make_address(Group.Self.Address), Group.Self.Port);
  Socket.open(Local.protocol());
  Socket.bind(Local);
  receive();
  tick();
  Thread = std::thread([this] { Context.run(); });
}

void membership_node::stop() {
  if (!Thread.joinable())
    return;
  Context.stop();
  Thread.join();
}

void membership_node::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender, [this](auto Error, std::size_t Bytes) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          std::vector<outgoing_datagram> Datagrams;
          onDatagram({Buffer.data(), Bytes}, readClock(), Group, Datagrams);
          flush(Datagrams);
        }
        receive();
      });
}

void membership_node::tick() {
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](auto Error) {
    if (Error)
      return;
    std::vector<outgoing_datagram> Datagrams;
    onMembershipTick(readClock(), Group, Datagrams);
    flush(Datagrams);
    publish();
    tick();
  });
}

void membership_node::flush(const std::vector<outgoing_datagram> &Datagrams) {
  for (const outgoing_datagram &Datagram : Datagrams) {
    asio::error_code Ignored;
    const asio::ip::udp::endpoint To(
        asio::ip::make_address(Datagram.Address, Ignored), Datagram.Port);
    Socket.send_to(asio::buffer(Datagram.Bytes), To, 0, Ignored);
    SentBytes += Datagram.Bytes.size();
  }
}

void membership_node::publish() {
  if (View && View->Revision == Group.Revision)
    return;
  auto Fresh = std::make_shared<const membership>(Group);
  const std::lock_guard Lock(Mutex);
  View = std::move(Fresh);
}

void membership_node::seed(std::vector<member_identity> Identities) {
  const auto Seeded = std::make_shared<std::promise<void>>();
  asio::post(Context, [this, Seeded, Identities = std::move(Identities)] {
    for (const member_identity &Identity : Identities)
      seedMember(Identity, readClock(), Group);
    publish();
    Seeded->set_value();
  });
  Seeded->get_future().wait_for(SeedWait);
}

void membership_node::leave() {
  asio::post(Context, [this] { announceLeaving(Group); });
}

std::shared_ptr<const membership> membership_node::view() const {
  const std::lock_guard Lock(Mutex);
  return View;
}

} // namespace lentilhoist
