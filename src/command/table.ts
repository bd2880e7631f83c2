import ApplyCommand from './apply.js';
import AuditCommand from './audit.js';
import CheckCommand from './check.js';
import CustomersCommand from './customers.js';
import DiffCommand from './diff.js';
import EntryCommand from './entry.js';
import ExplainCommand from './explain.js';
import GetCommand from './get.js';
import PoisonCommand from './poison.js';
import RollbackCommand from './rollback.js';
import SidecarCommand from './sidecar.js';
import StatusCommand from './status.js';
import TraceCommand from './trace.js';

/** All commands by name. */
const COMMANDS = {
  apply: ApplyCommand,
  audit: AuditCommand,
  check: CheckCommand,
  customers: CustomersCommand,
  diff: DiffCommand,
  entry: EntryCommand,
  explain: ExplainCommand,
  get: GetCommand,
  poison: PoisonCommand,
  rollback: RollbackCommand,
  sidecar: SidecarCommand,
  status: StatusCommand,
  trace: TraceCommand,
};

export default COMMANDS;
