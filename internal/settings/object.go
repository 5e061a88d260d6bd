package settings

// object mirrors the settings object. Its fields have the platform's names, which the JSON decoder
// matches regardless of case; unknown keys are ignored.
type object struct {
	Balancers      int        `json:"balancers"`
	MyNumber       int        `json:"myNumber"`
	Zone           string     `json:"zone"`
	Categories     []category `json:"categories"`
	Projects       []project  `json:"projects"`
	OverShareWorth float64    `json:"overShareWorth"`
	CountedBy      string     `json:"countedBy"`
	Kinds          []string   `json:"kinds"`
	FamilyInfo     familyInfo `json:"familyInfo"`
	Discovery      string     `json:"discovery"`
	Weights        string     `json:"weights"`
	LoadInfo       loadInfo   `json:"loadInfo"`
	Caps           caps       `json:"caps"`
	Rules          rules      `json:"rules"`
}

// category is a request class. Times are in milliseconds.
type category struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"keyScope"`
	Window     float64 `json:"window"`
	Target     float64 `json:"target"`
	AimStretch float64 `json:"aimStretch"`
	HardLimit  float64 `json:"hardLimit"`
	Gain       float64 `json:"gain"`
	LateWorth  float64 `json:"lateWorth"`
	Stream     bool    `json:"stream"`
}

// project is a tenant with its quota of requests per second.
type project struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quotaPerS"`
}

type familyInfo struct {
	Mode string `json:"mode"`
	// OriginKind is an index into the kinds of the object.
	OriginKind *int `json:"originKind"`
}

type loadInfo struct {
	Columns []string `json:"columns"`
	How     string   `json:"how"`
}

// caps are the features and limits of the deployment. Times are in milliseconds.
type caps struct {
	Cancel         bool    `json:"cancel"`
	MayProbe       bool    `json:"mayProbe"`
	Peers          bool    `json:"peers"`
	RetryAfter     bool    `json:"retryAfter"`
	SecondCopies   bool    `json:"secondCopies"`
	MaxAttempts    int     `json:"maxAttempts"`
	MaxRetryAfter  float64 `json:"maxRetryAfter"`
	CPUUsPerS      float64 `json:"cpuUsPerS"`
	ConnIdle       float64 `json:"connIdle"`
	ConnectTimeout float64 `json:"connectTimeout"`
}

// rules describe the behavior of the servers. Times are in milliseconds.
type rules struct {
	Cold           float64 `json:"cold"`
	ColdFrom       float64 `json:"coldFrom"`
	OverloadFactor float64 `json:"overloadFactor"`
	OverloadFor    float64 `json:"overloadFor"`
	MustAskIn      float64 `json:"mustAskIn"`
}
