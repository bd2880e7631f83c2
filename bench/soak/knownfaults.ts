import { faults } from './faults.js';
import { hostFaults } from './hostfaults.js';
import { listFaults } from './listfaults.js';
import { needFaults } from './needfaults.js';

/** Every fault by its name, whichever seeds draw it. */
export const knownFaults = { ...faults, ...listFaults, ...hostFaults, ...needFaults };
