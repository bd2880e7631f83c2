import EntryCommand from './entry.js';
import SidecarCommand from './sidecar.js';

/** Every command, by name. */
const COMMANDS = { entry: EntryCommand, sidecar: SidecarCommand };

export default COMMANDS;
