/** Help texts of the metrics in the Prometheus output, by name. */
export const METRIC_HELP: Readonly<Record<string, string>> = {
  cloud_calls_total: 'Calls to the cloud, by path and status; 0 for none.',
  duty_writes_total: 'Writes of duties to the store, by outcome.',
  capacity_changes_total:
    'Material changes of an estimate of how much load an endpoint takes well.',
  capacity_digests_total:
    'Estimates of endpoints that this node took over from the coordinator.',
  capacity_explored_total:
    'Calls sent to an endpoint to learn whether it has become faster.',
  capacity_pushes_total:
    'Pushes of capacity samples to the coordinator, by result.',
  capacity_rejected_total:
    'Capacity samples and estimates of other nodes that can not be read.',
  limited_answers_total: 'Answers of endpoints that state a rate limit.',
  limited_sends_denied_total:
    'Questions of this node that a keeper of a rate limit did not grant in full.',
  crash_trials_total:
    'Quarantined requests that were to be sent once more, by whether this node might.',
  endpoint_crashes_total:
    'Endpoints that ended while requests had no answer, by the proof.',
  requests_quarantined_total:
    'Requests found to crash endpoints, here or by another node.',
  connections_closed_total:
    'Connections closed to make room or for their requests, by port and reason.',
  connections_open: 'Open connections of clients and peers, by port.',
  connections_cut_total:
    'Connections cut to release memory, by reason and by what was held.',
  endpoint_sends_held_total:
    'Requests not sent to an endpoint that has enough bytes from this node.',
  endpoint_loads_rejected_total:
    'Answers whose stated load can not be read, which were used without it.',
  answers_dropped_total:
    'Answers not read on since their endpoint held most of the memory for answers.',
  endpoints_leaving_total:
    'Endpoints that said in an answer that they leave, before it was known.',
  held_bytes: 'Bytes of bodies and answers that are held for callers.',
  held_bytes_corrected:
    'The same with what the process holds beyond the account, as measured.',
  held_bytes_limit: 'Limits of the bytes held, by limit.',
  memory_refusals_total:
    'Requests refused because of the bytes held for callers.',
  platform_parts_down: 'Parts of the platform that do not answer this node.',
  ready: 'Whether the node takes work: 1 or 0.',
  request_ms: 'Time from dispatch to the whole answer, by service, in ms.',
  requests_answered_total: 'Requests that were answered whole, by service.',
  requests_failed_total: 'Requests that ended with an error, by kind.',
  requests_refused_total: 'Requests refused before dispatch, by kind.',
  retries_total: 'Attempts after the first, by kind of the failure before.',
  run_ms: 'Time from admission at the agent to the end of the run, in ms.',
  runs_ended_total: 'Runs that an endpoint has ended, by endpoint.',
  runs_refused_total: 'Runs that the agent refused as not run, by kind.',
  scoring_ms: 'Time of a scoring call with its retries, in ms.',
  scorings_total: 'Scoring calls by what became of the item.',
  usage_windows_missing:
    'Closed windows of usage that the cloud has not accepted.',
};
