/** Stand-ins for what lies outside the system. Not shipped. */
export type { Curve } from './engine/curve.js';
export { defaultCurve } from './engine/defaultcurve.js';
export { FakeEngine } from './engine/fakeengine.js';
export { stepMs } from './engine/stepms.js';
