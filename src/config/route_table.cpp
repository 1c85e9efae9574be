#include "config/route_table.h"

#include <algorithm>
#include <cctype>

namespace lentilhoist {

namespace {

std::string lowerHost(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos)
    Host = Host.substr(0, Colon);
  std::string Lower(Host);
  for (char &Char : Lower)
    Char = static_cast<char>(std::tolower(static_cast<unsigned char>(Char)));
  return Lower;
}

} // namespace

const char *routeKindName(route_kind Kind) {
  switch (Kind) {
  case route_kind::Idempotent:
    return "idempotent";
  case route_kind::NonIdempotent:
    return "non_idempotent";
  case route_kind::Streaming:
    return "streaming";
  }
  return "unknown";
}

route_table::route_table(configuration Given)
    : Config(std::move(Given)), Keys(Config) {
  for (const route &Route : Config.Routes)
    ByHost[lowerHost(Route.Host)].push_back(&Route);
  for (auto &[Host, Routes] : ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const route *Left, const route *Right) {
                       return Left->PathPrefix.size() >
                              Right->PathPrefix.size();
                     });
  for (const service &Service : Config.Services)
    ByService[Service.Name] = &Service;
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  const auto Found = ByHost.find(lowerHost(Host));
  if (Found == ByHost.end())
    return nullptr;
  for (const route *Route : Found->second)
    if (Path.starts_with(Route->PathPrefix))
      return Route;
  return nullptr;
}

const service *route_table::findService(std::string_view Name) const {
  const auto Found = ByService.find(Name);
  return Found == ByService.end() ? nullptr : Found->second;
}

std::string_view chooseTarget(const route &Route, std::uint64_t Hash) {
  double Total = 0;
  for (const route_target &Target : Route.Targets)
    Total += std::max(0.0, Target.Weight);
  if (Total <= 0)
    return {};
  // A double represents the upper 53 bits of the hash exactly as a fraction.
  double Point =
      static_cast<double>(Hash >> 11) / static_cast<double>(1ULL << 53) * Total;
  for (const route_target &Target : Route.Targets) {
    Point -= std::max(0.0, Target.Weight);
    if (Point < 0)
      return Target.Service;
  }
  return Route.Targets.back().Service;
}

int priorityOf(const route &Route, const workspace *Workspace) {
  return Workspace && Workspace->Priority ? *Workspace->Priority
                                          : Route.Priority;
}

bool replacesConfig(const route_table_ptr &Current, std::int64_t Version) {
  return !Current || Version > Current->config().Version;
}

} // namespace lentilhoist
