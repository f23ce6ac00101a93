#include "tests/placementfixture.h"
#include "workflow/organisationshare.h"

#include <algorithm>
#include <iterator>

namespace sequoiastand
{

/// Four waiting steps of 8 accelerators each in a service of 32 accelerators, of which 8 are free. The hotels hold 16 of them, the tailors 8.
struct OrganisationShares : PlacementTest
{
    OrganisationShares()
    {
        for (const std::string organisation : {"hotels", "tailors", "tailors", "tailors"}) {
            addBatch(std::to_string(input.waiting.size()), 1, 2, 4).organisation = {organisation};
        }
    }

    std::vector<bool> beyondShare()
    {
        markBeyondShare(input.waiting, terms);
        std::vector<bool> marks;
        std::ranges::transform(input.waiting, std::back_inserter(marks), &WaitingStep::isBeyondShare);
        return marks;
    }

    ShareTerms terms{{{{"tailors"}, 3}}, {{{"press"}, 32}}, {{{"press"}, 8}}, {{{{"press"}, {"hotels"}}, 16}, {{{"press"}, {"tailors"}}, 8}}};
};

TEST_F(OrganisationShares, stepsBelowTheirShareComeFirst)
{
    // Guards against an organisation of high weight that waits behind others, and against one pass that gives it more than its share.
    EXPECT_EQ(beyondShare(), (std::vector<bool>{true, false, false, true}));
    addRacks(1);
    occupy(1, 8);
    occupy(2, 8);
    occupy(3, 8);
    EXPECT_EQ(startsOf(plan(), "1"), 2);
}

TEST_F(OrganisationShares, noStepIsMarkedWithoutWeightsOrWithCapacityForAll)
{
    auto withCapacity = terms;
    withCapacity.free.at({"press"}) = 32;
    terms.weights.clear();
    EXPECT_EQ(beyondShare(), std::vector<bool>(4, false));
    terms = withCapacity;
    EXPECT_EQ(beyondShare(), std::vector<bool>(4, false));
}

}
