# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_ragwortctl_global_optspecs
    string join \n entry= token= output= h/help V/version
end

function __fish_ragwortctl_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_ragwortctl_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_ragwortctl_using_subcommand
    set -l cmd (__fish_ragwortctl_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -s V -l version -d 'Print version'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "label" -d 'Labels of instances, models, services and accounts'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "selector" -d 'Selectors: placements and routes'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "version" -d 'Versions of weights'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "status" -d 'What is intended, what serves, and what is behind and why, by availability zone. Instances in the state of most of their zone share a line'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "spread" -d 'Progress of the rollout of each version'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "operations" -d 'Operations that may not be repeated'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "settle" -d 'Settles an operation in doubt after a look at the ledger'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "explain" -d 'Prints the story of one request from log files of a fleet\'s processes, and its cause'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "parts" -d 'Parts of prompts that end engines, at the voters of a fleet'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "evacuation" -d 'Evacuations of availability zones, at the voters of a fleet'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "members" -d 'The voters'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "replace-voter" -d 'Replaces a voter that is lost for good, brings a new one in, or both'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "check-config" -d 'Checks a settings file'
complete -c ragwortctl -n "__fish_ragwortctl_needs_command" -f -a "generate" -d 'Writes shell completions and man pages'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -f -a "set" -d 'Sets labels, and removes those written as KEY-'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -f -a "get" -d 'Shows the labels of one thing'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -f -a "list" -d 'Lists labels'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and not __fish_seen_subcommand_from set get list remove" -f -a "remove" -d 'Removes all labels of one thing'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from set" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from set" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from set" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from set" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from set" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from set" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from get" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from get" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from get" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from get" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from list" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from list" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from list" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from remove" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from remove" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from remove" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from remove" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from remove" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand label; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -f -a "place" -d 'Sets which version the selected instances serve'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -f -a "route" -d 'Sets which accounts reach which upstreams'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -f -a "get" -d 'Shows one selector'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -f -a "list" -d 'Lists selectors'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and not __fish_seen_subcommand_from place route get list remove" -f -a "remove" -d 'Removes a selector'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l instances -d 'Label selector over instances, such as \'pool=chat,!canary\'' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l version -d 'Digest of the version\'s manifest' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from place" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l accounts -d 'Label selector over accounts; empty selects all' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l targets -d 'Label selector over models and services; empty selects all' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l upstreams -d 'Label selector over upstream instances; empty selects all' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from route" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from get" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from get" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from get" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from get" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from list" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from list" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from list" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from remove" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from remove" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from remove" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from remove" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from remove" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand selector; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -f -a "add" -d 'Registers a version, which never changes its meaning afterwards'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -f -a "list" -d 'Lists versions'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and not __fish_seen_subcommand_from add list remove" -f -a "remove" -d 'Removes a version that no placement names'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l model -d 'Model that callers ask for' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l adapter -d 'Adapter that is part of the version' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l size-bytes -d 'Size of all chunks together' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from add" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from list" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from list" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from list" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from remove" -l expected-revision -d 'Refuses the change unless the object is at this revision; 0 means that it must not exist' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from remove" -l change-id -d 'Identifier of the change, to send one again whose answer was lost' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from remove" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from remove" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from remove" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand version; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand status" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand status" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand status" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand status" -l all -d 'Shows each instance on a line of its own'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand status" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand spread" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand spread" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand spread" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand spread" -l watch -d 'Redraws until all replicas serve what is intended'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand spread" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand operations" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand operations" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand operations" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand operations" -l in-doubt -d 'Only those whose outcome nobody knows'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand operations" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand settle" -l ran -d 'Whether the ledger shows that it ran' -r -f -a "true\t''
false\t''"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand settle" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand settle" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand settle" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand settle" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand explain" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand explain" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand explain" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand explain" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -l voter -d 'Address of a voter\'s listener for links. With several, the next is asked when one does not answer' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -l secret -d 'The secret of the fleet\'s processes' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -f -a "list" -d 'Lists the parts that are isolated or were released, and what speaks against others'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -f -a "isolate" -d 'Refuses requests with a part from now on'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and not __fish_seen_subcommand_from list isolate release" -f -a "release" -d 'Serves requests with a part again, as after new weights that bear it'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from list" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from list" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from list" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from isolate" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from isolate" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from isolate" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from isolate" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from release" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from release" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from release" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand parts; and __fish_seen_subcommand_from release" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -l voter -d 'Address of a voter\'s listener for links. With several, the next is asked when one does not confirm the state' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -l secret -d 'The secret of the fleet\'s processes' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -f -a "list" -d 'Lists the availability zones and whether they are evacuated'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -f -a "start" -d 'Sends nothing more to upstreams of a zone. Streams in progress run to their end'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and not __fish_seen_subcommand_from list start end" -f -a "end" -d 'Sends requests to upstreams of a zone again'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from list" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from list" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from list" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from start" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from start" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from start" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from start" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from end" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from end" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from end" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand evacuation; and __fish_seen_subcommand_from end" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand members" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand members" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand members" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand members" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand replace-voter" -l lost -d 'Instance whose voter is lost for good' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand replace-voter" -l new -d 'Instance of a running voter that is to take part' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand replace-voter" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand replace-voter" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand replace-voter" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand replace-voter" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand check-config" -l program -d 'The program that reads it' -r -f -a "entry\t'`ragwortdeal-entry`'
agent\t'`ragwortdeal-agent`'
voter\t'`ragwortdeal-voter`'
fleet\t'Any program in a fleet'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand check-config" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand check-config" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand check-config" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand check-config" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand generate" -l entry -d 'Address of an entry\'s listener for operators. With several, the next is asked when one does not answer; a change keeps its identifier, so it is never made twice' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand generate" -l token -d 'The operator\'s secret' -r
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand generate" -l output -d 'How to print' -r -f -a "table\t'For people'
json\t'For programs'"
complete -c ragwortctl -n "__fish_ragwortctl_using_subcommand generate" -s h -l help -d 'Print help (see more with \'--help\')'
