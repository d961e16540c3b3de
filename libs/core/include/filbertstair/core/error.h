#ifndef FILBERTSTAIR_CORE_ERROR_H_
#define FILBERTSTAIR_CORE_ERROR_H_

#include <stdexcept>
#include <string>

#include "filbertstair/core/names.h"

namespace filbertstair::core {

// Processing step in which an error occurred.
enum class Step {
  settings,
  listen,
  resolve,
  connect,
  read,
  write,
  decode,
  document,
  route,
  queue,
  admit,
  engine,
  respond,
  platform,
  allocate,
};
template <>
inline constexpr NameTable<Step, 15> kNames<Step>{{
    {Step::settings, "settings"},
    {Step::listen, "listen"},
    {Step::resolve, "resolve"},
    {Step::connect, "connect"},
    {Step::read, "read"},
    {Step::write, "write"},
    {Step::decode, "decode"},
    {Step::document, "document"},
    {Step::route, "route"},
    {Step::queue, "queue"},
    {Step::admit, "admit"},
    {Step::engine, "engine"},
    {Step::respond, "respond"},
    {Step::platform, "platform"},
    {Step::allocate, "allocate"},
}};

// Exception with the step and the peer at which the error occurred. `peer` is an address, a process
// id or a file name. what() returns "<step> <peer>: <message>".
class Error : public std::runtime_error {
 public:
  Error(Step step, std::string peer, const std::string& message);

  auto GetStep() const -> Step { return this->step; }
  auto Peer() const -> const std::string& { return this->peer; }

 private:
  Step step;
  std::string peer;
};

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_ERROR_H_
