//! Small stand-ins for the outside systems that ragwortdeal meets.
