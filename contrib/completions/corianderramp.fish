# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_corianderramp_global_optspecs
    string join \n platform= config= retry= o/output= h/help V/version
end

function __fish_corianderramp_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_corianderramp_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_corianderramp_using_subcommand
    set -l cmd (__fish_corianderramp_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c corianderramp -n "__fish_corianderramp_needs_command" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_needs_command" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_needs_command" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_needs_command" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_needs_command" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -s V -l version -d 'Print version'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "apply" -d 'Writes the objects of files, after a check of all of them'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "diff" -d 'Shows how the objects of files differ from the platform\'s'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "get" -d 'Shows objects'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "watch" -d 'Follows a rollout until all targets serve its version'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "delete" -d 'Deletes an object'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "drain" -d 'Asks a VM to finish its requests and take no new ones'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "check" -d 'Checks settings files and object files without the platform'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "model" -d 'Prints the Model object of a weights file'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "report" -d 'Reports about the past hours'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "completions" -d 'Prints the completions of a shell'
complete -c corianderramp -n "__fish_corianderramp_needs_command" -f -a "man" -d 'Prints a manual page'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -l within -d 'Longest time to wait' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -l wait -d 'Wait until every data centre reports the revision in force'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -l dry-run -d 'Only show what would be written'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand apply" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand diff" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand diff" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand diff" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand diff" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand diff" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand get" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand get" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand get" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand get" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand get" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand watch" -l within -d 'Longest time to wait' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand watch" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand watch" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand watch" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand watch" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand watch" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand delete" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand delete" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand delete" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand delete" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand delete" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l reason -d 'Why, for other operators' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l within -d 'Longest time to wait' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l cancel -d 'Withdraw the request'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -l wait -d 'Wait until every data centre reports the revision in force'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand drain" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand check" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand check" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand check" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand check" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand check" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l model -d 'Model' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l model-version -d 'Version, unique within the model' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l base -d 'Base of an adapter' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l chunk-size -d 'Size of each chunk but the last' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l blobs -d 'Also write each chunk to a file that is named after its digest' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand model" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and not __fish_seen_subcommand_from burn" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and not __fish_seen_subcommand_from burn" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and not __fish_seen_subcommand_from burn" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and not __fish_seen_subcommand_from burn" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and not __fish_seen_subcommand_from burn" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and not __fish_seen_subcommand_from burn" -f -a "burn" -d 'Error budget of services and accounts: burn rates and what spent it'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -l service -d 'Only this service' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -l account -d 'Only this account' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -l svg -d 'Also draw the burn rates of the last 6 h to this file' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand report; and __fish_seen_subcommand_from burn" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand completions" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand completions" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand completions" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand completions" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand completions" -s h -l help -d 'Print help'
complete -c corianderramp -n "__fish_corianderramp_using_subcommand man" -l platform -d 'Address of the platform\'s object API, otherwise CORIANDERRAMP_PLATFORM' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand man" -l config -d 'TOML file with `platform` and `retry`, used where no argument is given; otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml' -r -F
complete -c corianderramp -n "__fish_corianderramp_using_subcommand man" -l retry -d 'Time for which outages of the platform are retried [default: 30]' -r
complete -c corianderramp -n "__fish_corianderramp_using_subcommand man" -s o -l output -d 'Table for people, JSON for programs; `get` also writes TOML for `apply`' -r -f -a "table\t''
json\t''
toml\t''"
complete -c corianderramp -n "__fish_corianderramp_using_subcommand man" -s h -l help -d 'Print help'
