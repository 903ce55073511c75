# Bash completion for knapweedstair(1).
_knapweedstair () {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
	local options='--platform --token-file --operator-token-file --entry
		--output --base --wait --timeout --tenant --date --method --host
		--path --prompt --deadline-ms --key-file --help --version'
	local words=() i

	case $prev in
	--token-file|--operator-token-file|--key-file)
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
		;;
	--output)
		mapfile -t COMPREPLY < <(compgen -W 'text json' -- "$cur")
		return
		;;
	--method)
		mapfile -t COMPREPLY < <(compgen -W 'GET POST PUT DELETE' -- "$cur")
		return
		;;
	--platform|--entry|--base|--timeout|--tenant|--date|--host|--path|\
	--prompt|--deadline-ms)
		return
		;;
	esac
	if [[ $cur == -* ]]
	then
		mapfile -t COMPREPLY < <(compgen -W "$options" -- "$cur")
		return
	fi
	for ((i = 1; i < COMP_CWORD; i++))
	do
		case ${COMP_WORDS[i]} in
		--platform|--token-file|--operator-token-file|--entry|\
		--output|--base|--timeout|--tenant|--date|--method|--host|\
		--path|--prompt|--deadline-ms|--key-file)
			i=$((i + 1))
			;;
		-*)
			;;
		*)
			words+=("${COMP_WORDS[i]}")
			;;
		esac
	done
	case "${words[*]}" in
	'')
		mapfile -t COMPREPLY < <(compgen -W \
			'release fleet request explain' -- "$cur")
		;;
	release)
		mapfile -t COMPREPLY < <(compgen -W \
			'check publish status history show diff' -- "$cur")
		;;
	fleet|request)
		mapfile -t COMPREPLY < <(compgen -W 'status' -- "$cur")
		;;
	'release check'|'release publish')
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		;;
	esac
}
complete -o filenames -F _knapweedstair knapweedstair
