#include "azureshore/membership/view.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::membership;

namespace {

member_view three_members()
{
    member_view view;
    view.members = {{{"vm-1"}, {"shubra"}, {}, member_state::live},
                    {{"vm-2"}, {"maadi"}, {}, member_state::live},
                    {{"vm-3"}, {"shubra"}, {}, member_state::leaving}};
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_candidates_of_a_cell)

BOOST_AUTO_TEST_CASE(a_live_member_in_the_cells_data_centre_comes_first)
{
    const auto names = leader_candidates({{"catalogue"}, {"maadi"}}, three_members(), 3);
    BOOST_REQUIRE(names.size() == 2);
    BOOST_TEST(names[0].value == "vm-2");
    BOOST_TEST(names[1].value == "vm-1");
}

BOOST_AUTO_TEST_CASE(a_leaving_member_is_no_candidate)
{
    for (const auto& name : leader_candidates({{"catalogue"}, {"shubra"}}, three_members(), 3)) {
        BOOST_TEST(name.value != "vm-3");
    }
}

BOOST_AUTO_TEST_SUITE_END()
