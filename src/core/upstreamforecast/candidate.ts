import type { Forecast } from './forecastresult.js';

/** An upstream that a request may be sent to. */
export interface Candidate extends Forecast {
  /** How long work takes there now, as a factor of the usual time. */
  pace: number;
  isOwnZone: boolean;
  /** True while it processes prompts: one more would wait for them and lengthen the pause of the streams there. */
  isPrefilling: boolean;
  /** 0 if nothing speaks against it; it is not chosen while there is a candidate with less. */
  risk: number;
}
