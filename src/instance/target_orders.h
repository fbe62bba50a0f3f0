#ifndef ENDIVEYARD_SRC_INSTANCE_TARGET_ORDERS_H_
#define ENDIVEYARD_SRC_INSTANCE_TARGET_ORDERS_H_

#include <functional>

#include "endiveyard/control/control_messages.h"

namespace endiveyard {

// Sends one order, at most once, on a new connection. Calls `callback` with the
// outcome on a pool thread, or before returning if `not_after` has passed.
void SendTargetOrder(const SendOrder& order,
                     const std::function<void(OrderAnswered)>& callback);

// Reads the load of a target once. Calls `callback` on a pool thread.
void ReadTargetLoad(const ReadTargetState& read,
                    const std::function<void(TargetStateRead)>& callback);

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_INSTANCE_TARGET_ORDERS_H_
