import { crowdFaults } from './crowdfaults.js';
import { endlessFaults } from './endlessfaults.js';
import { faults } from './faults.js';
import { leavingFaults } from './leavingfaults.js';
import { outOfStepFaults } from './outofstepfaults.js';
import { overloadFaults } from './overloadfaults.js';
import { openEndFaults } from './openendfaults.js';
import { plannedFaults } from './plannedfaults.js';
import { rejoinFaults } from './rejoinfaults.js';
import { releaseFaults } from './releasefaults.js';
import { suspensionFaults } from './suspensionfaults.js';
import { serverListFaults } from './serverlistfaults.js';
import { reportedStateFaults } from './reportedstatefaults.js';

/** The faults of all seed ranges, by name. */
export const knownFaults = {
  ...faults,
  ...serverListFaults,
  ...suspensionFaults,
  ...reportedStateFaults,
  ...overloadFaults,
  ...leavingFaults,
  ...releaseFaults,
  ...rejoinFaults,
  ...openEndFaults,
  ...plannedFaults,
  ...outOfStepFaults,
  ...crowdFaults,
  ...endlessFaults,
};
