#ifndef ENDIVEYARD_SRC_INSTANCE_TARGET_ORDERS_H_
#define ENDIVEYARD_SRC_INSTANCE_TARGET_ORDERS_H_

#include <functional>

#include "endiveyard/control/control_messages.h"

namespace endiveyard {

// Sends one order, once, on a connection of its own. `done` gets the outcome
// on a pool thread, or at once when `not_after` has passed.
void SendTargetOrder(const SendOrder& order,
                     const std::function<void(OrderAnswered)>& done);

// Reads the load of a target once. `done` is called on a pool thread.
void ReadTargetLoad(const ReadTargetState& read,
                    const std::function<void(TargetStateRead)>& done);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_TARGET_ORDERS_H_
