#include "statement.h"

#include <type_traits>

namespace sequoiastand
{

OperatorRole requiredRole(const Statement &statement)
{
    return std::visit(
        [](const auto &value) {
            using Kind = std::decay_t<decltype(value)>;
            if constexpr (
                std::is_same_v<
                    Kind,
                    QueryStatement> || std::is_same_v<Kind, ExplainStatement> || std::is_same_v<Kind, ReviewStatement> || std::is_same_v<Kind, FailureModeStatement>) {
                return OperatorRole::Viewer;
            } else if constexpr (std::is_same_v<Kind, SubmitStatement> || std::is_same_v<Kind, CancelStatement>) {
                return OperatorRole::Submitter;
            } else {
                return OperatorRole::Administrator;
            }
        },
        statement);
}

}
