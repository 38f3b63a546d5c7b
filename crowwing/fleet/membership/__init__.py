"""Who of the fleet is there: members and, in large fleets, cells."""
