/** Where the mapping of one key stands: a state of mapping.chart.json. */
export type MappingPhase = 'asking' | 'creating' | 'reading' | 'bound' | 'refused';
